package http

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus are the bounds of the status of a final response.
	minStatus = 200
	maxStatus = 599
	// statusDigits is the length of a status code.
	statusDigits = 3
	// maxInterimResponses bounds the informational responses before a final one.
	maxInterimResponses = 100
	// maxQuotedBytes bounds how much of a line an error includes.
	maxQuotedBytes = 64

	protocolPrefix = "HTTP/1."
	protocol11     = "HTTP/1.1"
)

// ErrInvalidHead means that an endpoint sent something that is not the head of a response.
var ErrInvalidHead = errors.New("head of the response is invalid")

var (
	errStatusLine = errors.New("malformed status line")
	errFieldName  = errors.New("field name is no token")
	errFolded     = errors.New("field is continued on another line")
	errFraming    = errors.New("transfer coding beside a length or in HTTP/1.0")
	errLineEnd    = errors.New("head does not end with CRLF")
)

// CheckStatus returns ErrInvalidHead unless a status is that of a final response.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrInvalidHead, status)
	}
	return nil
}

// readFinalHead reads heads up to that of the final response and returns its status, which
// may be invalid. A malformed head is ErrInvalidHead, and nothing of it is used.
func readFinalHead(r *bufio.Reader, response *fasthttp.Response) (int, error) {
	for range maxInterimResponses + 1 {
		status, _, err := checkNextHead(r)
		if err != nil {
			return 0, err
		}
		// The whole head is buffered, so that an error is one of its syntax.
		if err := response.Header.Read(r); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrInvalidHead, err)
		}
		if isFinal(status) {
			return status, nil
		}
	}
	return 0, fmt.Errorf("%w: more than %d interim responses", ErrInvalidHead, maxInterimResponses)
}

func isInterim(status int) bool { return status >= fasthttp.StatusContinue && status < minStatus }

// isFinal reports whether no head of a further response follows.
func isFinal(status int) bool {
	return !isInterim(status) || status == fasthttp.StatusSwitchingProtocols
}

// checkNextHead waits for the next head, which stays buffered, and returns its status and
// its length in bytes. It returns ErrInvalidHead as soon as a line can't be part of a head.
func checkNextHead(r *bufio.Reader) (status, length int, err error) {
	var c headCheck
	for !c.ended {
		line, err := peekLine(r, length)
		if err != nil {
			return 0, 0, err
		}
		if err := c.add(line); err != nil {
			return 0, 0, fmt.Errorf("%w: %w in %.*q", ErrInvalidHead, err, maxQuotedBytes, line)
		}
		length += len(line)
	}
	return c.status, length, nil
}

// peekLine waits for the line that begins after offset buffered bytes and returns it with
// its end.
func peekLine(r *bufio.Reader, offset int) ([]byte, error) {
	for searched := offset; ; {
		// What is buffered can be peeked at without an error.
		buffered, _ := r.Peek(r.Buffered())
		if end := bytes.IndexByte(buffered[searched:], '\n'); end >= 0 {
			return buffered[offset : searched+end+1], nil
		}
		searched = len(buffered)
		if _, err := r.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}

// headCheck checks a head line by line. It is stricter than fasthttp, which accepts spaces
// in field names and joins continuation lines: other readers, among them callers, find
// other fields in such a head, or another end of the body.
type headCheck struct {
	status int
	// protocol11 is set for a response of HTTP/1.1.
	protocol11 bool
	hasLength  bool
	hasCoding  bool
	// crlf is set if the last line ended with CRLF rather than LF.
	crlf  bool
	begun bool
	ended bool
}

// add checks the next line, which holds its end.
func (c *headCheck) add(line []byte) error {
	text, crlf := bytes.CutSuffix(line[:len(line)-1], []byte{'\r'})
	followsCRLF := c.crlf
	c.crlf = crlf
	switch {
	case len(text) > 0 && c.begun:
		return c.addField(text)
	case len(text) > 0:
		c.begun = true
		return c.addStatusLine(string(text))
	case !c.begun:
		// Empty lines may precede the status line.
		return nil
	case !crlf || !followsCRLF:
		return errLineEnd
	case c.hasCoding && (c.hasLength || !c.protocol11):
		return errFraming
	}
	c.ended = true
	return nil
}

func (c *headCheck) addStatusLine(text string) error {
	protocol, rest, _ := strings.Cut(text, " ")
	code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != statusDigits || !strings.HasPrefix(protocol, protocolPrefix) {
		return errStatusLine
	}
	c.status, c.protocol11 = status, protocol == protocol11
	return nil
}

func (c *headCheck) addField(text []byte) error {
	if text[0] == ' ' || text[0] == '\t' {
		return errFolded
	}
	name, _, found := bytes.Cut(text, []byte{':'})
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return errFieldName
	}
	c.hasLength = c.hasLength || bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength))
	c.hasCoding = c.hasCoding || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
	return nil
}
