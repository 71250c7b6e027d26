package events_test

import (
	"testing"

	"github.com/sebdah/goldie/v2"
	"hawthornrail.example/hawthornrail/internal/observe/events"
)

func TestCatalogue(t *testing.T) {
	t.Run("page is up to date", func(t *testing.T) {
		g := goldie.New(t, goldie.WithFixtureDir("../../../docs"), goldie.WithNameSuffix(".md"))
		g.Assert(t, "EVENTS", []byte(events.Markdown()))
	})
	t.Run("numbers rise", func(t *testing.T) {
		last := 0
		for _, e := range events.Catalogue() {
			if e.Number() <= last {
				t.Errorf("event %d stands after %d", e.Number(), last)
			}
			last = e.Number()
		}
	})
}
