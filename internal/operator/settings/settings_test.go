package settings_test

import (
	"testing"

	"github.com/sebdah/goldie/v2"
	"hawthornrail.example/hawthornrail/internal/operator/settings"
)

const validSettings = `[vm]
name = "vm1"
data_centre = "dc1"
[caller]
address = "10.0.0.1:8080"
certificate = "caller.pem"
key = "caller.key"
[operator]
address = "10.0.0.1:9100"
[peer]
address = "10.0.0.1:7000"
secret = "00112233445566778899aabbccddeeff"
plain = true
[platform]
address = "10.0.0.9:9000"
`

const invalidSettings = `[vm]
name = "vm 1"
[caller]
address = "localhost:8080"
addr = "10.0.0.1:8080"
[operator]
address = "10.0.0.1:9100"
[peer]
address = "10.0.0.1:7000"
secret = "0011"
plain = true
key = "vm.key"
[platform]
address = "10.0.0.9"
[limits]
retry_limit = -1
[log]
level = "loud"
`

func TestParse(t *testing.T) {
	t.Run("all errors at once, each with its line", func(t *testing.T) {
		_, err := settings.Parse("vm.toml", invalidSettings)
		if err == nil {
			t.Fatal("no error")
		}
		goldie.New(t).Assert(t, "errors", []byte(err.Error()+"\n"))
	})
	t.Run("invalid unit", func(t *testing.T) {
		_, err := settings.Parse("vm.toml", validSettings+"[limits]\ndrain_timeout = \"30 parsecs\"\n")
		if err == nil {
			t.Fatal("no error")
		}
		goldie.New(t).Assert(t, "unit", []byte(err.Error()+"\n"))
	})
	t.Run("secrets are not printed", func(t *testing.T) {
		s, err := settings.Parse("vm.toml", validSettings)
		if err != nil {
			t.Fatal(err)
		}
		text, err := s.Print()
		if err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, "printed", []byte(text))
	})
}
