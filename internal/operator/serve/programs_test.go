package serve_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"hawthornrail.example/hawthornrail/internal/operator/api"
	"hawthornrail.example/hawthornrail/internal/operator/cmds"
	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

// runPrograms runs the programs command on a VM and returns its exit code and
// output.
func runPrograms(vm *testbed.VM, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	args = append([]string{"hawthornrail", "programs"}, args...)
	code = cmds.Main(append(args, "--address", vm.Operator), &out, &errs)
	return code, out.String(), errs.String()
}

func TestProgramsCommand(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 1, VMs: 2, Engines: 1, Services: 1})
	home, other := bed.VMs[0], bed.VMs[1]
	program := home.CreateProgram(bed.Key)
	assertOK(t, testbed.Retry(func() testbed.Reply { return home.Ask(bed.Key, program, 1, "hello") }))

	t.Run("list prints one line of JSON per program", func(t *testing.T) {
		code, out, _ := runPrograms(home, "list", "--output", "json")
		var p api.Program
		if err := json.Unmarshal([]byte(strings.SplitN(out, "\n", 2)[0]), &p); err != nil || code != cmds.ExitOK {
			t.Fatalf("exit %d, %v: %s", code, err, out)
		}
		if p.ID != program || p.Home != home.Name || p.Team != testbed.Team || p.NextCall != 2 || p.RemainingBudget.Calls != 999 || len(p.Memory) != 1 {
			t.Errorf("got %+v", p)
		}
	})
	t.Run("show at another VM names the home", func(t *testing.T) {
		code, _, errs := runPrograms(other, "show", program)
		if code != cmds.ExitFailed || !strings.Contains(errs, home.Name) {
			t.Errorf("exit %d: %s", code, errs)
		}
	})
	t.Run("end", func(t *testing.T) {
		code, out, errs := runPrograms(home, "end", program, "--reason", "looping")
		if code != cmds.ExitOK || !strings.Contains(out, "ended (looping)") {
			t.Errorf("exit %d: %s%s", code, out, errs)
		}
		assertRefused(t, home.Ask(bed.Key, program, 2, "hello"), 409, "program_ended", "not_run")
	})
	t.Run("without an id", func(t *testing.T) {
		if code, _, _ := runPrograms(home, "show"); code != cmds.ExitUsage {
			t.Errorf("exit %d", code)
		}
	})
}
