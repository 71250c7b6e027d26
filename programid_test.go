package hawthornrail_test

import (
	"testing"

	hawthornrail "hawthornrail.example/hawthornrail"
)

func TestProgramID(t *testing.T) {
	secret := []byte("secret")
	id := hawthornrail.NewProgramID(hawthornrail.NewInstance("vm1", "dc1", 7), 42, "team", secret).Child(3)
	t.Run("round trip", func(t *testing.T) {
		parsed, err := hawthornrail.ParseProgramID(id.String())
		if err != nil || parsed != id {
			t.Errorf("got %v, %v, want %v", parsed, err, id)
		}
	})
	t.Run("belongs only to its team", func(t *testing.T) {
		if !id.Belongs("team", secret) || id.Belongs("other", secret) || id.Belongs("team", []byte("other")) {
			t.Error("the MAC does not bind the id to its team")
		}
	})
}

func FuzzParseProgramID(f *testing.F) {
	f.Add("dc1.vm1.7.16.00112233445566778899aabb")
	f.Add("dc1.vm1.7.16.00112233445566778899aabb.3")
	f.Add("....")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := hawthornrail.ParseProgramID(s)
		if err != nil {
			return
		}
		again, err := hawthornrail.ParseProgramID(id.String())
		if err != nil || again != id {
			t.Errorf("%q parsed as %v, and again as %v, %v", s, id, again, err)
		}
	})
}
