package serve_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

// No endpoint, log or trace receives a caller's key, in whichever part of a request
// the key is sent.
func TestKeysAreNotForwarded(t *testing.T) {
	traces := filepath.Join(t.TempDir(), "traces")
	bed := testbed.New(t, testbed.Options{
		DataCentres: 1, VMs: 2, Engines: 1, Services: 1,
		Settings: "[traces]\nexporter = \"file\"\nfile = \"" + traces + "\"\n",
	})
	headers := map[string]string{
		"X-Api-Key": bed.Key, "Cookie": "key=" + bed.Key, "Proxy-Authorization": "Bearer " + bed.Key, "X-Other": bed.Key,
	}
	query := "?item=5&api_key=" + bed.Key + "&key=Bearer%20" + bed.Key
	for _, vm := range bed.VMs {
		reply := testbed.Retry(func() testbed.Reply {
			return vm.Call(bed.Key, "GET", "/v1/services/"+testbed.Service+"/stock"+query, headers, nil)
		})
		assertOK(t, reply)
		if !strings.Contains(string(reply.Body), `"query":"item=5"`) {
			t.Errorf("got %s, want the query without keys", reply.Body)
		}
		body := `{"model":"` + testbed.Model + `","messages":[{"role":"user","content":"hello"}]}`
		assertOK(t, testbed.Retry(func() testbed.Reply {
			return vm.Call(bed.Key, "POST", "/v1/chat/completions"+query, headers, []byte(body))
		}))
		vm.Call(bed.Key+"00", "POST", "/v1/chat/completions"+query, headers, []byte(body))
		vm.Call(bed.Key, "GET", "/v1/services/"+bed.Key+"/stock", headers, nil)
	}
	for name, s := range bed.Services {
		if n := s.KeysSeen(); n > 0 {
			t.Errorf("%s received %d keys", name, n)
		}
	}
	for name, e := range bed.Engines {
		if n := e.Load().KeysSeen; n > 0 {
			t.Errorf("%s received %d keys", name, n)
		}
	}
	for _, vm := range bed.VMs {
		vm.Terminate()
		_ = vm.Wait()
		assertNotInFile(t, vm.LogFile(), bed.Key)
	}
	assertNotInFile(t, traces, bed.Key)
}

func assertNotInFile(t *testing.T, path, secret string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Error(err)
	}
	if strings.Contains(string(text), secret) {
		t.Errorf("%s contains a key", filepath.Base(path))
	}
}
