package convert_test

import (
	"reflect"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"pgregory.net/rapid"
)

func drawBudget(t *rapid.T) hawthornrail.Budget {
	return hawthornrail.NewBudget(rapid.Uint64().Draw(t, "calls"), rapid.Uint64().Draw(t, "tokens"),
		time.Duration(rapid.Int32().Draw(t, "wall"))*time.Millisecond, rapid.Uint32().Draw(t, "depth"), rapid.Uint32().Draw(t, "children"))
}

func drawChange(t *rapid.T) hawthornrail.Change {
	text := rapid.StringN(1, 20, -1)
	data := rapid.SliceOfN(rapid.Byte(), 1, 20)
	program, number := rapid.Uint32().Draw(t, "program"), rapid.Uint64().Draw(t, "number")
	created := time.UnixMilli(int64(rapid.Uint32().Draw(t, "created")))
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return hawthornrail.NewCreateTree(text.Draw(t, "team"), text.Draw(t, "deployment"), drawBudget(t), created)
	case 1:
		return hawthornrail.NewCreateChild(program, drawBudget(t), created)
	case 2:
		i := hawthornrail.NewIntent(program, number, data.Draw(t, "digest"), text.Draw(t, "endpoint"), rapid.Bool().Draw(t, "idempotent"), rapid.Uint64().Draw(t, "reserve"))
		return i.WithMessages(data.Draw(t, "messages"))
	case 3:
		return hawthornrail.NewResponseOutcome(program, number, rapid.IntRange(100, 599).Draw(t, "status"), text.Draw(t, "type"), data.Draw(t, "answer")).
			WithMessage(data.Draw(t, "reply")).WithUsedTokens(rapid.Uint64().Draw(t, "used")).WithEnd(text.Draw(t, "end"))
	case 4:
		v := rapid.SampledFrom([]hawthornrail.Verdict{hawthornrail.VerdictNotRun, hawthornrail.VerdictMayHaveRun}).Draw(t, "verdict")
		return hawthornrail.NewOutcome(program, number, v, hawthornrail.CodeResponseTruncated).WithMessage(data.Draw(t, "reply"))
	default:
		return hawthornrail.NewEnd(program, text.Draw(t, "reason"))
	}
}

// A step is unchanged by conversion, so that the records of the home and the
// backup agree.
func TestStepRoundTrip(t *testing.T) {
	home := hawthornrail.NewInstance("vm1", "dc1", 1)
	tree := hawthornrail.NewProgramID(home, 7, "team", []byte("secret"))
	rapid.Check(t, func(t *rapid.T) {
		step := hawthornrail.NewStep(tree, rapid.Uint64().Draw(t, "sequence"), drawChange(t))
		got, err := convert.StepFromWire(convert.StepToWire(home, 3, step))
		if err != nil || !reflect.DeepEqual(got, step) {
			t.Fatalf("got %+v, %v, want %+v", got, err, step)
		}
	})
}
