package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	nethttp "net/http"
	"net/url"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
)

var errUnconfirmed = errors.New("not confirmed")

// Memory lists and releases the cache memory that engines hold for programs; it
// implements hawthornrail.EngineMemory.
type Memory struct {
	transport *http.Transport
}

// NewMemory returns a Memory that reaches engines over a transport.
func NewMemory(transport *http.Transport) *Memory { return &Memory{transport: transport} }

// Release returns once the engine has confirmed that it holds no memory for a
// program.
func (m *Memory) Release(ctx context.Context, e hawthornrail.Endpoint, program string) error {
	_, err := m.send(ctx, e, nethttp.MethodDelete, "/cache/"+url.PathEscape(program))
	return err
}

// ProgramsInMemory returns the programs that the engine holds memory for.
func (m *Memory) ProgramsInMemory(ctx context.Context, e hawthornrail.Endpoint) ([]string, error) {
	body, err := m.send(ctx, e, nethttp.MethodGet, "/cache")
	if err != nil {
		return nil, err
	}
	var tokens map[string]int
	if err := json.Unmarshal(body, &tokens); err != nil {
		return nil, fmt.Errorf("cache of %s: %w", e.Name(), err)
	}
	programs := make([]string, 0, len(tokens))
	for program := range tokens {
		programs = append(programs, program)
	}
	return programs, nil
}

func (m *Memory) send(ctx context.Context, e hawthornrail.Endpoint, method, path string) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + e.Address() + path)
	exchange, err := m.transport.Do(ctx, e.Address(), request, true)
	if err != nil {
		return nil, fmt.Errorf("%s %s at %s: %w", method, path, e.Name(), err)
	}
	defer exchange.Close()
	body, err := exchange.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("%s %s at %s: %w", method, path, e.Name(), err)
	}
	if exchange.Status() != nethttp.StatusOK || !exchange.Framed() {
		return nil, fmt.Errorf("%s %s at %s: status %d: %w", method, path, e.Name(), exchange.Status(), errUnconfirmed)
	}
	return body, nil
}
