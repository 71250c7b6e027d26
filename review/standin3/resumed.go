//go:build review

package main

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"time"
)

// playResumed lets an edge machine die in the middle of a turn's stream, which its client
// then resumes to its end, and judges whether the conversation can go on.
func playResumed(b *bed, trouble bool) bool {
	for _, zone := range b.zones {
		b.addWorker("model", zone, 6, 150*time.Millisecond)
	}
	edges, _ := b.startSmall(configWith(`"service": "model", "max_attempts": 1, "stateful": false`, `"service": "model", "max_attempts": 1, "stateful": true`))
	time.Sleep(15 * time.Second)
	headers := func(more ...string) map[string]string {
		h := map[string]string{"program": "program-1", "session": "s", "program_deadline": "60000", "budget": "3000", "tokens": "100,132"}
		for n := 0; n+1 < len(more); n += 2 {
			h[more[n]] = more[n+1]
		}
		return h
	}
	turn := func(m *machine, body string, h map[string]string) answer {
		return b.send(m, call{method: "POST", path: "/turn/1", key: "key-a", deadline: 3 * time.Second, body: body, headers: h})
	}
	var last answer
	firstID, event := "", ""
	if trouble {
		firstID, event = b.interruptedTurn(edges[0], headers())
		edges[0].kill()
		last = turn(edges[1], "input one;", headers("last_event", event, "resumes", firstID))
		if last.status != http.StatusOK || last.err != nil {
			cannotRun("the resumed stream did not end: %d, %v", last.status, last.err)
		}
	} else {
		last = turn(edges[1], "input one;", headers())
	}
	held := true
	for n := range 5 {
		time.Sleep(300 * time.Millisecond)
		a := turn(edges[1+n%2], "input two;", headers("parent", last.id))
		if a.status == http.StatusNotFound || a.status == http.StatusGone {
			held = false
		}
	}
	if trouble {
		// For the record only: that attempt was not answered whole.
		_ = turn(edges[1], "input two;", headers("parent", firstID))
	}
	return held
}

// interruptedTurn begins a turn and returns its id and the id of its second event, at which
// the client's channel is about to break.
func (b *bed) interruptedTurn(m *machine, headers map[string]string) (id, event string) {
	id = newID()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.callers+"/turn/1", strings.NewReader("input one;"))
	if err != nil {
		cannotRun("request: %v", err)
	}
	r.Host = "review.example"
	r.Header.Set(names["request_id"], id)
	r.Header.Set(names["deadline"], "3000")
	r.Header.Set(names["key"], "key-a")
	for name, value := range headers {
		r.Header.Set(names[name], value)
	}
	b.record("%s sent to %s: first attempt of the turn", id, m.name)
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		cannotRun("first attempt: %v", err)
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if value, ok := strings.CutPrefix(scanner.Text(), "id: "); ok && value == "2" {
			b.record("%s has brought event 2", id)
			// The rest of the event arrives with its id.
			return id, value
		}
	}
	cannotRun("first attempt brought no second event")
	return "", ""
}
