//go:build review

package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is a request of a client. It is sent on a connection of its own.
type call struct {
	method   string
	path     string
	body     string
	key      string
	headers  map[string]string
	deadline time.Duration
	// patience is how long the client waits at most, if it names no deadline.
	patience time.Duration
}

// answer is what a client has got for a request; its status is 0 if there was none.
type answer struct {
	id     string
	status int
	body   string
	sealed bool
	err    error
	took   time.Duration
	retry  string
}

// events returns the number of events of the answer.
func (a answer) events() int { return strings.Count(a.body, "\n\n") }

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send sends a request to an edge machine and waits for the whole answer.
func (b *bed) send(m *machine, c call) answer {
	id := newID()
	wait := c.deadline
	if wait == 0 {
		wait = c.patience
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+m.callers+c.path, strings.NewReader(c.body))
	if err != nil {
		cannotRun("request: %v", err)
	}
	r.Host = "review.example"
	r.Header.Set(names["request_id"], id)
	if c.deadline > 0 {
		r.Header.Set(names["deadline"], strconv.FormatInt(c.deadline.Milliseconds(), 10))
	}
	if c.key != "" {
		r.Header.Set(names["key"], c.key)
	}
	for name, value := range c.headers {
		r.Header.Set(names[name], value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	start := time.Now()
	b.record("%s sent to %s: %s %s %v", id, m.name, c.method, c.path, c.headers)
	response, err := transport.RoundTrip(r)
	a := answer{id: id, err: err}
	if err == nil {
		a.status, a.sealed, a.retry = response.StatusCode, response.Header.Get(names["seal"]) != "", response.Header.Get("Retry-After")
		var data []byte
		data, a.err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.body = string(data)
	}
	a.took = time.Since(start)
	if a.err != nil && errors.Is(a.err, context.DeadlineExceeded) {
		b.record("%s got no whole answer within %v (status %d)", id, wait, a.status)
	} else {
		b.record("%s got %d, sealed %t, %d bytes, error %v, after %v, retry after %q", id, a.status, a.sealed, len(a.body), a.err, a.took.Round(time.Millisecond), a.retry)
	}
	return a
}
