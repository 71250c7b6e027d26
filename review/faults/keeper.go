//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"
)

// keeper is a requester that keeps its channel to an edge open.
type keeper struct {
	fleet     *fleet
	edge      int
	transport *http.Transport
}

func newKeeper(f *fleet, edge int) *keeper {
	return &keeper{fleet: f, edge: edge, transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}}
}

// turn sends a turn and reads its answer to the end. reused reports that the channel has
// carried another request before, and err that the answer is not complete.
func (k *keeper) turn(path, id, input string, deadline time.Duration) (status int, reused bool, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+k.fleet.callers[k.edge]+path, strings.NewReader(input))
	check(err)
	r = r.WithContext(httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused },
	}))
	r.Host = host
	for name, value := range map[string]string{
		"request_id": id, "deadline": fmt.Sprint(deadline.Milliseconds()), "key": apiKey, "tokens": "6140,30", "program": id, "session": id,
	} {
		r.Header.Set(names[name], value)
	}
	response, err := k.transport.RoundTrip(r)
	if err != nil {
		return 0, reused, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, reused, err
}
