package http

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

const (
	// minStatus and maxStatus are the bounds of the status of a final response.
	minStatus = 200
	maxStatus = 599
	// maxInterimResponses bounds the informational responses before a final one.
	maxInterimResponses = 100
)

// zeroStatus is a status code that fasthttp reports as 200.
var zeroStatus = []byte("000")

// ErrInvalidStatus means that an endpoint sent something that is no final response.
var ErrInvalidStatus = errors.New("status is not that of a final response")

// CheckStatus returns ErrInvalidStatus unless a status is that of a final response.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: %03d", ErrInvalidStatus, status)
	}
	return nil
}

// readFinalHead reads heads up to that of the final response and returns its status.
func readFinalHead(r *bufio.Reader, response *fasthttp.Response) (int, error) {
	for range maxInterimResponses + 1 {
		zero := hasZeroStatus(r)
		if err := response.Header.Read(r); err != nil {
			return 0, err
		}
		switch status := response.StatusCode(); {
		case zero:
			return 0, nil
		case status < fasthttp.StatusContinue, status >= minStatus, status == fasthttp.StatusSwitchingProtocols:
			return status, nil
		}
	}
	return 0, fmt.Errorf("more than %d interim responses", maxInterimResponses)
}

// hasZeroStatus reports whether the status line that comes next has the status 000. It
// waits for the whole line; errors are left to the read of the head.
func hasZeroStatus(r *bufio.Reader) bool {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			return false
		}
		// What is buffered can be peeked at without an error.
		buffered, _ := r.Peek(r.Buffered())
		line, _, whole := bytes.Cut(bytes.TrimLeft(buffered, "\r\n"), []byte{'\n'})
		if !whole {
			continue
		}
		_, status, _ := bytes.Cut(line, []byte{' '})
		return bytes.HasPrefix(bytes.TrimLeft(status, " "), zeroStatus)
	}
}
