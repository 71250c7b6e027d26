package worker

import (
	"io"
	"net"
	"strings"
)

// rawID stands for the id of the request in a raw response.
const rawID = "{id}"

// SendRaw makes all requests get a raw response, after which their connections are closed.
// In it {id} stands for the id of the request.
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

// sendRaw sends the raw response to a request, if one is set.
func (w *Worker) sendRaw(c net.Conn, id string, resumed bool) bool {
	response := w.rawFor(resumed)
	if response == "" {
		return false
	}
	_, _ = io.WriteString(c, strings.ReplaceAll(response, rawID, id))
	return true
}

func (w *Worker) rawFor(resumed bool) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if resumed {
		return w.rawOnResume
	}
	return w.raw
}
