package worker

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// Flood is a part of a response that a worker sends without end.
type Flood string

// The floods. The last one sends a byte a second.
const (
	FloodHead      Flood = "head"
	FloodInterim   Flood = "interim responses"
	FloodBody      Flood = "body"
	FloodUnframed  Flood = "body without a length"
	FloodChunks    Flood = "chunks"
	FloodChunkSize Flood = "chunk size"
	FloodTrailer   Flood = "trailer"
	FloodEvent     Flood = "event"
	FloodComments  Flood = "comments"
	FloodDrip      Flood = "byte a second"
)

// Floods returns all floods.
func Floods() []Flood {
	return []Flood{
		FloodHead, FloodInterim, FloodBody, FloodUnframed, FloodChunks, FloodChunkSize, FloodTrailer, FloodEvent, FloodComments, FloodDrip,
	}
}

const (
	floodBlock   = 16 << 10
	dripInterval = time.Second
	chunkedField = "Transfer-Encoding: chunked\r\n"
)

// FloodOn makes requests on a path get a response with a part without end.
func (w *Worker) FloodOn(path string, f Flood) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.floodPath, w.flood = path, f
}

func (w *Worker) floodFor(path string) (Flood, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flood, w.flood != "" && path == w.floodPath
}

// sendFlood sends a response until the connection is closed.
func (w *Worker) sendFlood(c net.Conn, id string, f Flood) {
	head := func(contentType, framing string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nContent-Type: %s\r\n%s\r\n", id, w.id, contentType, framing)
	}
	filler := strings.Repeat("a", floodBlock)
	switch f {
	case FloodHead:
		repeat(c, "HTTP/1.1 200 OK\r\nX-Padding: ", filler)
	case FloodInterim:
		repeat(c, "", "HTTP/1.1 100 Continue\r\n\r\n")
	case FloodBody:
		repeat(c, head("text/plain", "Content-Length: 1000000000000\r\n"), filler)
	case FloodUnframed:
		repeat(c, head("text/plain", ""), filler)
	case FloodChunks:
		repeat(c, head("text/plain", chunkedField), chunk(filler))
	case FloodChunkSize:
		repeat(c, head("text/plain", chunkedField)+"1;", filler)
	case FloodTrailer:
		repeat(c, head("text/plain", chunkedField)+chunk("answer")+"0\r\nX-Padding: ", filler)
	case FloodEvent:
		repeat(c, head("text/event-stream", chunkedField)+chunk("data: "), chunk(filler))
	case FloodComments:
		repeat(c, head("text/event-stream", chunkedField), chunk(": comment\n\n"))
	case FloodDrip:
		drip(c, head("text/plain", chunkedField)+"4000\r\n")
	}
}

// repeat sends a start and then the same text until the connection is closed.
func repeat(c net.Conn, start, text string) {
	_, err := c.Write([]byte(start))
	for err == nil {
		_, err = c.Write([]byte(text))
	}
}

func drip(c net.Conn, start string) {
	_, err := c.Write([]byte(start))
	for err == nil {
		time.Sleep(dripInterval)
		_, err = c.Write([]byte("a"))
	}
}
