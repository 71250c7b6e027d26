package crowd_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/standin/crowd"
)

const (
	// memoryMB and maxBodyBytes are lower than in a deployment, so that a small crowd
	// exceeds the memory.
	memoryMB     = 64
	maxBodyBytes = 1 << 20
	// callers is the number of connections of each crowd, and halfHeads that of the crowd
	// that sends heads only.
	callers   = 80
	halfHeads = 1500
	// descriptorsPerMB and ownDescriptors bound the open descriptors: connections of
	// callers by the memory limit, and those of the process itself.
	descriptorsPerMB = 16
	ownDescriptors   = 64
	// tries and retryInterval are how often a refused caller tries again.
	tries         = 40
	retryInterval = 500 * time.Millisecond
	callTimeout   = 10 * time.Second
)

// call sends an ordinary request until it is served, and returns the last status, or an
// error.
func call(address string, body []byte, padding string, tries int) (status int, err error) {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := range tries {
		if n > 0 {
			time.Sleep(retryInterval)
		}
		status, err = send(&client, address, body, padding, n)
		if err == nil && status == http.StatusOK {
			return status, nil
		}
	}
	return status, err
}

func send(client *http.Client, address string, body []byte, padding string, n int) (int, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/orders/x", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", fmt.Sprintf("ordinary%d", n))
	r.Header.Set("Api-Key", key)
	if padding != "" {
		r.Header.Set("X-Padding", padding)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// Guards against a process that is ended, exceeds its memory or hangs because callers
// send requests beyond the limits or leave them incomplete.
func TestProcessSurvivesCrowds(t *testing.T) {
	s := newSystem(t)
	for _, kind := range crowd.Kinds() {
		t.Run(string(kind), func(t *testing.T) {
			p, address := s.startEntry(t, fmt.Sprintf("memory_mb = %d\nmax_body_bytes = %d\n", memoryMB, maxBodyBytes))
			stop := make(chan struct{})
			go p.watch(memoryMB<<20, stop)
			defer close(stop)
			count := callers
			if kind == crowd.Heads {
				count = halfHeads
			}
			head := fmt.Sprintf("POST /orders/x HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Attempt-Id: crowd\r\n", host, key)
			c := crowd.Send(crowd.Target{Address: address, Head: head, BodyBytes: maxBodyBytes}, kind, count)
			defer c.Close()
			p.sample()
			if p.alive() {
				if status, err := call(address, []byte("text"), "", tries); status != http.StatusOK {
					t.Errorf("an ordinary request got status %d, error %v", status, err)
				}
			}
			p.sample()
			assertWithinBounds(t, p)
		})
	}
}

func assertWithinBounds(t *testing.T, p *process) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("%d KB of %d, %d descriptors", p.memory>>10, memoryMB<<10, p.descriptors)
	if !p.alive() {
		t.Error("the process has ended")
	}
	if p.memory > memoryMB<<20 {
		t.Errorf("%d KB of memory, want %d at most", p.memory>>10, memoryMB<<10)
	}
	if limit := descriptorsPerMB*memoryMB + ownDescriptors; p.descriptors > limit {
		t.Errorf("%d descriptors, want %d at most", p.descriptors, limit)
	}
}

// Guards against limits that refuse a single request within them on the smallest entry
// VM.
func TestLargestRequestIsServed(t *testing.T) {
	s := newSystem(t)
	p, address := s.startEntry(t, "memory_mb = 88\n")
	const largestBody, padding = 4 << 20, 15 << 10
	// A new VM first gets its part of the team's rate.
	if status, err := call(address, []byte("text"), "", tries); status != http.StatusOK {
		t.Fatalf("status %d, error %v", status, err)
	}
	for n := range 3 {
		status, err := call(address, bytes.Repeat([]byte{'a'}, largestBody), strings.Repeat("a", padding), 1)
		if status != http.StatusOK {
			t.Errorf("request %d: status %d, error %v", n, status, err)
		}
	}
	p.sample()
	t.Logf("%d KB", p.memory>>10)
}
