package worker

import (
	"fmt"
	"net"
	"strings"
)

// headCut is how far a response gets until its connection is closed or reset.
type headCut struct {
	bytes int
	reset bool
}

// CutHead breaks off the next response after some bytes, with a reset or a close.
func (w *Worker) CutHead(bytes int, reset bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.headCuts = append(w.headCuts, headCut{bytes: bytes, reset: reset})
}

// PadHead adds a header field of a size to all further responses.
func (w *Worker) PadHead(bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.headPadding = bytes
}

// NextStatus sets the status codes of the responses to the next requests, one for each in
// order of arrival. A code that ends with a minus comes with the statement that the
// request has not run.
func (w *Worker) NextStatus(codes ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statuses = append(w.statuses, codes...)
}

// ClearStatus drops the status codes that are set.
func (w *Worker) ClearStatus() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statuses = nil
}

// StatusOnResume makes the streams that go on after an event have a status code, or 200 if
// it is empty.
func (w *Worker) StatusOnResume(code string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resumeStatus = code
}

func (w *Worker) streamStatus(lastEvent int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if lastEvent > 0 && w.resumeStatus != "" {
		return w.resumeStatus
	}
	return "200"
}

// sendStatus sends a response with the next status, if one is set.
func (w *Worker) sendStatus(c net.Conn, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.statuses) == 0 {
		return false
	}
	code, notRun := strings.CutSuffix(w.statuses[0], "-")
	w.statuses = w.statuses[1:]
	field := ""
	if notRun {
		field = "X-Not-Executed: 1\r\n"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\n%sX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nContent-Length: 6\r\n\r\nanswer", code, field, id, w.id)
	return true
}

func (w *Worker) nextHeadCut() (cut headCut, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.headCuts) == 0 {
		return headCut{}, false
	}
	cut = w.headCuts[0]
	w.headCuts = w.headCuts[1:]
	return cut, true
}

// cutConn is a connection that ends after some bytes of a response.
type cutConn struct {
	net.Conn
	cut headCut
}

// Write writes the bytes up to the cut.
func (c *cutConn) Write(p []byte) (int, error) {
	if len(p) < c.cut.bytes {
		c.cut.bytes -= len(p)
		return c.Conn.Write(p)
	}
	_, _ = c.Conn.Write(p[:c.cut.bytes])
	if c.cut.reset {
		reset(c.Conn)
	}
	_ = c.Close()
	return 0, net.ErrClosed
}
