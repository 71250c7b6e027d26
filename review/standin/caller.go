//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// caller sends requests to edge machines, each attempt on its own channel.
type caller struct {
	names  names
	record *record
	client *http.Client
	// key is the requester's key.
	key  string
	sent atomic.Int64
}

func newCaller(n names, r *record) *caller {
	return &caller{names: n, record: r, key: callersKey, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxConnsPerHost: 0}}}
}

// newKeptCaller returns a caller that keeps its channels for further requests.
func newKeptCaller(n names, r *record) *caller {
	return &caller{names: n, record: r, key: callersKey, client: &http.Client{Transport: &http.Transport{}}}
}

// answer is what a caller gets for a request.
type answer struct {
	id         string
	status     int
	retryAfter time.Duration
	// events counts the events of a stream, and complete reports that the answer
	// ended regularly.
	events   int
	complete bool
	err      error
}

// turn sends a turn of a program that may generate a number of tokens.
func (c *caller) turn(edge, program string, budget, tokens int) answer {
	fields := map[string]string{
		c.names.Tokens: fmt.Sprintf("100,%d", tokens),
	}
	if program != "" {
		fields[c.names.Program], fields[c.names.Session] = program, "line-1"
		fields[c.names.ProgramDeadline], fields[c.names.Budget] = "60000", strconv.Itoa(budget)
	}
	return c.post(edge, "/turns/1", fields, nil, turnTimeout)
}

// post sends a request with a time budget and reads its answer to the end.
func (c *caller) post(edge, path string, fields map[string]string, body io.Reader, timeout time.Duration) answer {
	a := answer{id: fmt.Sprintf("attempt-%d", c.sent.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge+path, body)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = callersHost
	r.Header.Set(c.names.RequestID, a.id)
	r.Header.Set(c.names.Key, c.key)
	r.Header.Set(c.names.Deadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	for name, value := range fields {
		r.Header.Set(name, value)
	}
	c.record.add("sent to %s: %s %s", edge, path, a.id)
	response, err := c.client.Do(r)
	if err != nil {
		a.err = err
		c.record.add("no answer: %s: %v", a.id, err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.events, a.err = readEvents(response.Body)
	a.complete = a.err == nil
	c.record.add("answered: %s: status %d, %d events, complete %t %v", a.id, a.status, a.events, a.complete, a.err)
	return a
}

// readEvents reads a body to its end and counts its events.
func readEvents(body io.Reader) (events int, err error) {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			events++
		}
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
	}
}
