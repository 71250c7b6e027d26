package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	endpointhttp "hawthornrail.example/hawthornrail/internal/endpoint/http"
)

const (
	maxBodyBytes = 64 << 20
	// maxIdleTime is how long an unused connection is kept.
	maxIdleTime = 5 * time.Second
	contentType = "application/json"
	// maxErrorBytes bounds how much of a response body an error includes.
	maxErrorBytes = 512
)

// Errors of the service that callers distinguish, besides
// hawthornrail.ErrHistoryCompacted.
var (
	// ErrUnavailable means that it is unknown whether the call took effect.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrConflict means that the object has another version than expected.
	ErrConflict = errors.New("object was changed meanwhile")
	// ErrTooLarge means that a response is too long to be read.
	ErrTooLarge = errors.New("response is too large")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("no such object")
)

// JSONClient sends requests with JSON bodies to a service at one address.
type JSONClient struct {
	baseURL string
	client  *fasthttp.Client
}

// NewJSONClient returns a client of the service at an IP address and port.
func NewJSONClient(address string, dialer hawthornrail.Dialer) *JSONClient {
	return &JSONClient{
		baseURL: "http://" + address,
		client: &fasthttp.Client{
			NoDefaultUserAgentHeader: true, MaxResponseBodySize: maxBodyBytes,
			MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: maxIdleTime,
			Dial: func(address string) (net.Conn, error) { return dialChecked(dialer, address) },
		},
	}
}

// dialChecked connects to the service; what it sends is a response or an error.
func dialChecked(dialer hawthornrail.Dialer, address string) (net.Conn, error) {
	c, err := dialer.Dial(context.Background(), address)
	if err != nil {
		return nil, err
	}
	return endpointhttp.Checked(c), nil
}

// Do sends one request, without a body if body is nil, and decodes the body of
// a successful response into reply.
func (c *JSONClient) Do(ctx context.Context, timeout time.Duration, method, path string, body []byte, reply any) error {
	responseBody, err := c.DoEncoded(ctx, timeout, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(responseBody, reply); err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, ErrUnavailable, err)
	}
	return nil
}

// DoEncoded is like Do but returns the body of a successful response as it is.
func (c *JSONClient) DoEncoded(ctx context.Context, timeout time.Duration, method, path string, body []byte) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.baseURL + path)
	request.Header.SetMethod(method)
	if body != nil {
		request.Header.SetContentType(contentType)
		request.SetBody(body)
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	err := c.client.DoTimeout(request, response, timeout)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return nil, fmt.Errorf("%s %s: %w: %w", method, path, ErrUnavailable, ErrTooLarge)
	}
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w: %w", method, path, ErrUnavailable, err)
	}
	responseBody := response.Body()
	if err := statusError(response.StatusCode()); err != nil {
		return nil, fmt.Errorf("%s %s: status %d: %w: %s", method, path, response.StatusCode(), err, responseBody[:min(len(responseBody), maxErrorBytes)])
	}
	return bytes.Clone(responseBody), nil
}

func statusError(status int) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusGone:
		return hawthornrail.ErrHistoryCompacted
	default:
		return ErrUnavailable
	}
}
