package serve_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

// No log, trace, metric, status or stored object contains a caller's key.
func TestKeysAreNotRecorded(t *testing.T) {
	folder := t.TempDir()
	bed := testbed.New(t, testbed.Options{
		DataCentres: 1, VMs: 2, Engines: 1, Services: 1,
		Settings: "[traces]\nexporter = \"file\"\nfile = \"" + filepath.Join(folder, "spans.json") + "\"\n",
	})
	revoked := bed.IssueKey(testbed.Deployment)
	bed.RevokeKey(revoked)
	forged := bed.Key + "00"
	keys := []string{bed.Key, revoked, forged}
	program := bed.VMs[0].CreateProgram(bed.Key)
	assertOK(t, testbed.Retry(func() testbed.Reply { return bed.VMs[0].Ask(bed.Key, program, 1, "hello") }))
	for _, vm := range bed.VMs {
		vm.WaitReady()
		for _, key := range keys {
			vm.Ask(key, program, 1, "hello")
			vm.Order(key, program, 2)
			vm.Call(key, "GET", "/v1/services/"+testbed.Service+"/stock?key="+key, map[string]string{"X-Api-Key": key, "Cookie": "key=" + key}, nil)
			vm.Call(key, "POST", "/v1/chat/completions", nil, []byte("not JSON"))
		}
	}
	for _, vm := range bed.VMs {
		for _, path := range []string{"/metrics", "/v1/status"} {
			_, body, err := fasthttp.Get(nil, "http://"+vm.Operator+path)
			if err != nil {
				t.Fatal(err)
			}
			assertNoKey(t, "operator "+path, string(body), keys)
		}
		vm.Terminate()
		_ = vm.Wait()
		assertNoKey(t, "log", readFile(t, vm.LogFile()), keys)
	}
	spans := readFile(t, filepath.Join(folder, "spans.json"))
	if !strings.Contains(spans, "engine") {
		t.Error("no spans were written")
	}
	assertNoKey(t, "spans", spans, keys)
	objects, _ := bed.Store().List("")
	for _, o := range objects {
		assertNoKey(t, "object "+o.Kind, string(o.Value), keys)
	}
	for name, e := range bed.Engines {
		if e.Load().KeysSeen > 0 {
			t.Errorf("engine %s received a caller's key", name)
		}
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// assertNoKey checks that text does not contain the secret part of any key.
func assertNoKey(t *testing.T, where, text string, keys []string) {
	t.Helper()
	for _, key := range keys {
		if secret := strings.Split(key, "_")[2]; strings.Contains(text, secret[:16]) {
			t.Errorf("%s contains a caller's key", where)
		}
	}
}
