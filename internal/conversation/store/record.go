package store

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// headerBytes is the size of a record's header: the lengths of its description, input
	// and output, the checksum of its content, and the checksum of the header's other
	// fields with the description. The description and the content follow.
	headerBytes       = 20
	headerSumOffset   = 16
	maxDescription    = 64 << 10
	maxContentBytes   = 48 << 20
	replayBufferBytes = 256 << 10
)

var (
	// errCorrupt means that a record is damaged and its length is not known.
	errCorrupt = errors.New("record is corrupt")
	// errContentCorrupt means that the content of a record is damaged.
	errContentCorrupt = errors.New("content of a record is corrupt")
)

// checksums uses the polynomial that processors have an instruction for.
var checksums = crc32.MakeTable(crc32.Castagnoli)

// header is the fixed part of a record.
type header struct {
	descriptionBytes uint32
	inputBytes       uint32
	outputBytes      uint32
	contentSum       uint32
}

func (h header) contentBytes() int64 { return int64(h.inputBytes) + int64(h.outputBytes) }

func (h header) recordBytes() int64 {
	return headerBytes + int64(h.descriptionBytes) + h.contentBytes()
}

// contentSum returns the checksum of a turn's input followed by its output.
func contentSum(t hawthornrail.Turn) uint32 {
	return crc32.Update(crc32.Checksum(t.Input(), checksums), checksums, t.Output())
}

// appendRecord appends the record of a turn to a buffer.
func appendRecord(buffer []byte, t hawthornrail.Turn) ([]byte, header, error) {
	description, err := proto.Marshal(&vmpb.Turn{
		Ref:    &vmpb.TurnRef{Team: t.Ref().Team(), Id: []byte(t.Ref().ID())},
		Parent: []byte(t.Parent()), PlacementKey: t.PlacementKey(),
		CompletedUnixMs: t.CompletedAt().UnixMilli(), RetainMs: t.Retention().Milliseconds(),
	})
	if err != nil {
		return buffer, header{}, fmt.Errorf("encode turn: %w", err)
	}
	h := header{
		descriptionBytes: uint32(len(description)), inputBytes: uint32(len(t.Input())), outputBytes: uint32(len(t.Output())),
		contentSum: contentSum(t),
	}
	start := len(buffer)
	for _, v := range []uint32{h.descriptionBytes, h.inputBytes, h.outputBytes, h.contentSum} {
		buffer = binary.BigEndian.AppendUint32(buffer, v)
	}
	sum := crc32.Update(crc32.Checksum(buffer[start:], checksums), checksums, description)
	buffer = binary.BigEndian.AppendUint32(buffer, sum)
	buffer = append(buffer, description...)
	buffer = append(buffer, t.Input()...)
	return append(buffer, t.Output()...), h, nil
}

// readRecord reads the next record and checks all of it; its turn has no content.
func readRecord(r *bufio.Reader) (hawthornrail.Turn, header, error) {
	var fixed [headerBytes]byte
	if _, err := io.ReadFull(r, fixed[:]); err != nil {
		return hawthornrail.Turn{}, header{}, err
	}
	h := header{
		descriptionBytes: binary.BigEndian.Uint32(fixed[0:]), inputBytes: binary.BigEndian.Uint32(fixed[4:]),
		outputBytes: binary.BigEndian.Uint32(fixed[8:]), contentSum: binary.BigEndian.Uint32(fixed[12:]),
	}
	if h.descriptionBytes > maxDescription || h.contentBytes() > maxContentBytes {
		return hawthornrail.Turn{}, header{}, errCorrupt
	}
	description := make([]byte, h.descriptionBytes)
	if _, err := io.ReadFull(r, description); err != nil {
		return hawthornrail.Turn{}, header{}, err
	}
	sum := crc32.Update(crc32.Checksum(fixed[:headerSumOffset], checksums), checksums, description)
	if sum != binary.BigEndian.Uint32(fixed[headerSumOffset:]) {
		return hawthornrail.Turn{}, header{}, errCorrupt
	}
	content := crc32.New(checksums)
	if _, err := io.CopyN(content, r, h.contentBytes()); err != nil {
		return hawthornrail.Turn{}, header{}, err
	}
	var m vmpb.Turn
	if proto.Unmarshal(description, &m) != nil {
		return hawthornrail.Turn{}, header{}, errCorrupt
	}
	if content.Sum32() != h.contentSum {
		return describedTurn(&m), h, errContentCorrupt
	}
	return describedTurn(&m), h, nil
}

func describedTurn(m *vmpb.Turn) hawthornrail.Turn {
	ref := hawthornrail.NewTurnRef(m.GetRef().GetTeam(), string(m.GetRef().GetId()))
	return hawthornrail.NewTurn(ref, nil, nil).WithParent(string(m.GetParent())).WithPlacementKey(m.GetPlacementKey()).
		WithRetention(time.UnixMilli(m.GetCompletedUnixMs()), time.Duration(m.GetRetainMs())*time.Millisecond)
}
