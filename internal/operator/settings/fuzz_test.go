package settings_test

import (
	"testing"

	"hawthornrail.example/hawthornrail/internal/operator/settings"
)

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add(invalidSettings)
	f.Add("[vm\nname = 3")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := settings.Parse("vm.toml", text)
		if err == nil && (s.VM() == "" || len(s.Secret()) == 0) {
			t.Error("settings without a name or a secret were accepted")
		}
	})
}
