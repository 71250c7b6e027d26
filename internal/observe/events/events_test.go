package events_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"
	"github.com/tidwall/gjson"
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

// Guards against lines that say that something was 292 years ago which has never happened.
func TestMillis(t *testing.T) {
	for name, c := range map[string]struct {
		duration time.Duration
		want     string
	}{
		"a duration":     {1500 * time.Millisecond, "1500"},
		"a negative one": {-time.Second, "-1000"},
		"since never":    {time.Since(time.Time{}), ""},
		"less than 1 ms": {time.Microsecond, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			events.NewLogger(&log, zerolog.InfoLevel).Event(events.SourceLost).Millis("confirmed_ms_ago", c.duration).Emit()
			if got := gjson.GetBytes(log.Bytes(), "confirmed_ms_ago").Raw; got != c.want {
				t.Errorf("%q, want %q: %s", got, c.want, log.String())
			}
		})
	}
}
