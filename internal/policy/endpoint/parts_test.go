package endpoint_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
)

func partsOf(ids ...string) []hawthornrail.PromptPart {
	var parts []hawthornrail.PromptPart
	for _, id := range ids {
		parts = append(parts, hawthornrail.NewPromptPart(id, 20_000))
	}
	return parts
}

func pacedTable(n int) *endpoint.Table {
	table := newTable(engines(n))
	for _, e := range engines(n) {
		table.Report(e.Name(), endpoint.NewReport(0, 0, 0, 0).WithPace(1), start)
	}
	return table
}

func TestSharedParts(t *testing.T) {
	const prompt = 40_000
	t.Run("another program goes where the parts are cached", func(t *testing.T) {
		table := pacedTable(60)
		table.CachedParts(query("p", prompt).WithParts(partsOf("system", "tools")), "e42", start)
		if got := assertChoice(t, table, query("q", prompt).WithParts(partsOf("system", "tools")), start); got != "e42" {
			t.Errorf("got %s, want e42", got)
		}
	})
	// Guards against parts that count although the prompt does not begin with them.
	t.Run("later parts do not count without the first", func(t *testing.T) {
		table := pacedTable(60)
		table.CachedParts(query("p", prompt).WithParts(partsOf("system", "tools")), "e42", start)
		const requests = 30
		for range requests {
			if got := assertChoice(t, table, query("q", prompt).WithParts(partsOf("other", "tools")), start); got != "e42" {
				return
			}
		}
		t.Error("all requests go to e42")
	})
	// Guards against choices that change where no endpoint reports a pace.
	t.Run("are not kept without a pace", func(t *testing.T) {
		table := newTable(engines(3))
		table.CachedParts(query("p", prompt).WithParts(partsOf("system")), "e1", start)
		if table.Parts() != 0 {
			t.Errorf("%d parts are kept", table.Parts())
		}
	})
}

// Guards against memory that grows with the ids of parts that callers choose.
func TestPartsAreBounded(t *testing.T) {
	const requests, bound = 20_000, 4096
	table := pacedTable(8)
	for i := range requests {
		q := query("p", 1000).WithParts(partsOf(fmt.Sprint(i), fmt.Sprint("tools", i)))
		table.CachedParts(q, fmt.Sprintf("e%d", i%8), start.Add(time.Duration(i)*time.Millisecond))
	}
	if table.Parts() > bound {
		t.Errorf("%d parts are kept, want at most %d", table.Parts(), bound)
	}
	long := pacedTable(1)
	long.CachedParts(query("p", 1000).WithParts(partsOf(strings.Repeat("y", 100))), "e0", start)
	if long.Parts() != 0 {
		t.Error("a part with a long id is kept")
	}
}
