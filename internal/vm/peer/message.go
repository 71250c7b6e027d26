package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// maxMessageBytes bounds one message; it leaves room for the largest request
// body that the settings allow.
const maxMessageBytes = 64 << 20

// WriteMessage writes a message prefixed with its length.
func WriteMessage(w io.Writer, m proto.Message) error {
	block := make([]byte, 4, 4+proto.Size(m))
	block, err := proto.MarshalOptions{}.MarshalAppend(block, m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	binary.BigEndian.PutUint32(block, uint32(len(block)-4))
	if _, err := w.Write(block); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}

// ReadMessage reads a message that WriteMessage wrote into m.
func ReadMessage(r *bufio.Reader, m proto.Message) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxMessageBytes {
		return fmt.Errorf("message of %d bytes, at most %d are allowed", n, maxMessageBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
