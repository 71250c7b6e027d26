package serve_test

import (
	"bytes"
	"strings"
	"testing"

	"hawthornrail.example/hawthornrail/internal/operator/cmds"
	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

// The status of a deployment shows on which VMs the accepted version is in force
// and which VMs are behind or unresponsive.
func TestDeploymentStatus(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 2, Engines: 1, Services: 1})
	status := func(args ...string) (int, string) {
		var out bytes.Buffer
		full := append([]string{
			"hawthornrail", "deployment", "status", testbed.Deployment,
			"--platform", bed.PlatformAddress(), "--address", bed.VMs[0].Operator,
		}, args...)
		return cmds.Main(full, &out, &out), out.String()
	}
	t.Run("in force everywhere", func(t *testing.T) {
		bed.Apply(testbed.Deployment, testbed.DefaultDeployment())
		code, text := status("--wait", "--timeout", "10s")
		assertStatus(t, code, cmds.ExitOK, text, "is in force on 4 of 4 VMs")
	})
	t.Run("a data centre is partitioned", func(t *testing.T) {
		bed.Isolate("dc2")
		bed.Apply(testbed.Deployment, testbed.DefaultDeployment())
		code, text := status("--wait", "--timeout", "4s")
		assertStatus(t, code, cmds.ExitNotInForce, text, "is in force on 2 of 4 VMs", "dc2/dc2-vm1 does not answer")
	})
	t.Run("the data centre rejoins", func(t *testing.T) {
		bed.Rejoin("dc2")
		code, text := status("--wait", "--timeout", "20s")
		assertStatus(t, code, cmds.ExitOK, text, "is in force on 4 of 4 VMs")
	})
	t.Run("a VM is behind", func(t *testing.T) {
		bed.Isolate("dc1")
		bed.Apply(testbed.Deployment, testbed.DefaultDeployment())
		code, text := status()
		assertStatus(t, code, cmds.ExitNotInForce, text, "dc1/dc1-vm1 has revision", "behind for at most")
	})
}

func assertStatus(t *testing.T, code, want int, text string, parts ...string) {
	t.Helper()
	if code != want {
		t.Errorf("exit code %d, want %d", code, want)
	}
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("got %q, want %q in it", text, part)
		}
	}
}
