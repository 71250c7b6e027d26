package worker

import (
	"io"
	"net"
	"strings"
)

// rawID stands for the id of the request in a raw response.
const rawID = "{id}"

// SendRaw makes all requests get a raw response, in which {id} stands for the id of the
// request. Its connection is closed after one without a length or chunks.
func (w *Worker) SendRaw(response string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.raw = response
}

// SendRawOnResume is like SendRaw for the streams that go on after an event.
func (w *Worker) SendRawOnResume(response string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rawOnResume = response
}

// ClearRaw drops the raw responses that are set.
func (w *Worker) ClearRaw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.raw, w.rawOnResume = "", ""
}

// endsWithConnection reports whether only the end of its connection ends a response.
func endsWithConnection(response string) bool {
	return !strings.Contains(response, "\r\nContent-Length: ") && !strings.Contains(response, "\r\n"+chunkedField)
}

// sendRaw sends a raw response and reports whether the connection may be reused.
func sendRaw(c net.Conn, response, id string) bool {
	_, _ = io.WriteString(c, strings.ReplaceAll(response, rawID, id))
	return !endsWithConnection(response)
}

// rawFor returns the raw response to a request, or an empty string.
func (w *Worker) rawFor(resumed bool) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if resumed {
		return w.rawOnResume
	}
	return w.raw
}
