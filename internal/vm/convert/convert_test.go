package convert_test

import (
	"testing"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
)

// The home runs a forwarded request under the deployment as the entry VM has it,
// even if the home's own configuration differs.
func TestForwardedCallKeepsItsConfiguration(t *testing.T) {
	d := hawthornrail.NewDeployment("counter", "cordillera", 7).WithRate(60, 5).WithPriority(3)
	r := hawthornrail.NewModelRequest("quick", []byte("{}"), true)
	r.Identify("key1", d)
	r.SetRevision(42)
	got := convert.CallFromWire(convert.CallToWire(r))
	if got.Team() != "cordillera" || got.Deployment().Name() != "counter" {
		t.Errorf("got team %s, deployment %s", got.Team(), got.Deployment().Name())
	}
	if got.Deployment().Rate() != 60 || got.Deployment().Priority() != 3 {
		t.Errorf("got rate %g, priority %d", got.Deployment().Rate(), got.Deployment().Priority())
	}
	if got.KeyID() != "key1" || got.Revision() != 42 {
		t.Errorf("got key %s, revision %d", got.KeyID(), got.Revision())
	}
}
