package detour

import (
	"errors"
	"io"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// chunkBytes is the size of the parts in which a body is sent.
const chunkBytes = 16 << 10

func sendBody(stream *peer.Stream, head *vmpb.DetourHead, body []byte) error {
	if err := sendHead(stream, head); err != nil {
		return err
	}
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		if err := sendChunk(stream, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

func sendStream(stream *peer.Stream, head *vmpb.DetourHead, body io.Reader) error {
	if err := sendHead(stream, head); err != nil {
		return err
	}
	buffer := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := sendChunk(stream, buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func sendHead(stream *peer.Stream, head *vmpb.DetourHead) error {
	return truncated(stream.Send(&vmpb.DetourReply{Kind: &vmpb.DetourReply_Head{Head: head}}))
}

func sendChunk(stream *peer.Stream, data []byte) error {
	return truncated(stream.Send(&vmpb.DetourReply{Kind: &vmpb.DetourReply_Chunk{Chunk: &vmpb.CallChunk{Data: data}}}))
}

// truncated returns the failure of a response that its VM no longer receives.
func truncated(err error) error {
	if err == nil {
		return nil
	}
	return hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, err)
}

func sendRefusal(stream *peer.Stream, err error) {
	f := hawthornrail.NewFailure(hawthornrail.CodeHelperRefused, hawthornrail.VerdictNotRun, err)
	// A sender that misses the refusal counts the request as one that may have run.
	_ = stream.Send(endReply(&vmpb.DetourEnd{End: convert.EndToWire(f), Refused: true}))
}

func endReply(end *vmpb.DetourEnd) *vmpb.DetourReply {
	return &vmpb.DetourReply{Kind: &vmpb.DetourReply_End{End: end}}
}
