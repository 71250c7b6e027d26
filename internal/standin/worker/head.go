package worker

import "net"

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
