package account

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sync"

	"google.golang.org/protobuf/proto"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	journalName = "accounts.journal"
	newName     = "accounts.journal.new"
	headerBytes = 8
	// maxRecordBytes bounds what a damaged length can ask for.
	maxRecordBytes = 64 << 10
	// compactBytes is the size from which a journal is written anew.
	compactBytes = 32 << 20
)

// errJournalClosed means that a record came after the end of the journal.
var errJournalClosed = errors.New("journal is closed")

// Journal is an append-only file of records; many records share one sync.
type Journal struct {
	folder string

	// flushing serialises writers of the file.
	flushing sync.Mutex

	mu      sync.Mutex
	file    *os.File
	size    int64
	buffer  []byte
	written uint64
	synced  uint64
	err     error
	changed *sync.Cond
	wake    chan struct{}
}

// OpenJournal opens the journal in a folder and passes its records to replay;
// it cuts off what a power loss has torn. fresh reports that there was none.
func OpenJournal(folder string, replay func(*vmpb.AccountRecord)) (j *Journal, fresh bool, err error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, false, fmt.Errorf("open journal: %w", err)
	}
	path := filepath.Join(folder, journalName)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, false, fmt.Errorf("open journal: %w", err)
	}
	whole := decode(data, replay)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, false, fmt.Errorf("open journal: %w", err)
	}
	j = &Journal{folder: folder, file: file, size: int64(whole), wake: make(chan struct{}, 1)}
	j.changed = sync.NewCond(&j.mu)
	if err := j.begin(); err != nil {
		return nil, false, errors.Join(err, file.Close())
	}
	go j.run()
	return j, whole == 0, nil
}

// begin cuts the file to its whole records and makes its name durable.
func (j *Journal) begin() error {
	if err := j.file.Truncate(j.size); err != nil {
		return fmt.Errorf("cut journal: %w", err)
	}
	if _, err := j.file.Seek(j.size, 0); err != nil {
		return fmt.Errorf("open journal: %w", err)
	}
	if err := j.file.Sync(); err != nil {
		return fmt.Errorf("sync journal: %w", err)
	}
	return syncFolder(j.folder)
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}

// decode passes the records up to the first damaged one on and returns the
// length of what is whole.
func decode(data []byte, replay func(*vmpb.AccountRecord)) int {
	at := 0
	for len(data)-at >= headerBytes {
		length := int(binary.BigEndian.Uint32(data[at:]))
		sum := binary.BigEndian.Uint32(data[at+4:])
		end := at + headerBytes + length
		if length == 0 || length > maxRecordBytes || end > len(data) {
			break
		}
		payload := data[at+headerBytes : end]
		var record vmpb.AccountRecord
		if crc32.ChecksumIEEE(payload) != sum || proto.Unmarshal(payload, &record) != nil {
			break
		}
		replay(&record)
		at = end
	}
	return at
}

func encode(out []byte, record *vmpb.AccountRecord) ([]byte, error) {
	payload, err := proto.Marshal(record)
	if err != nil {
		return out, fmt.Errorf("encode record: %w", err)
	}
	out = binary.BigEndian.AppendUint32(out, uint32(len(payload)))
	out = binary.BigEndian.AppendUint32(out, crc32.ChecksumIEEE(payload))
	return append(out, payload...), nil
}

// Append queues a record and returns its number for Wait.
func (j *Journal) Append(record *vmpb.AccountRecord) (uint64, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.err != nil {
		return 0, j.err
	}
	buffer, err := encode(j.buffer, record)
	if err != nil {
		return 0, err
	}
	j.buffer = buffer
	j.written++
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return j.written, nil
}

// Wait returns once a record is on the disk.
func (j *Journal) Wait(number uint64) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for j.synced < number && j.err == nil {
		j.changed.Wait()
	}
	if j.synced >= number {
		return nil
	}
	return j.err
}

// Large reports whether the journal should be written anew.
func (j *Journal) Large() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.size > compactBytes
}

func (j *Journal) run() {
	for range j.wake {
		j.flush()
	}
}

// flush writes and syncs what is queued.
func (j *Journal) flush() {
	j.flushing.Lock()
	defer j.flushing.Unlock()
	j.mu.Lock()
	buffer, number, file := j.buffer, j.written, j.file
	j.buffer = nil
	failed := j.err != nil
	j.mu.Unlock()
	if len(buffer) == 0 || failed {
		return
	}
	_, err := file.Write(buffer)
	if err == nil {
		err = file.Sync()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil {
		// What the file holds is not known any more; nothing may be granted.
		j.err = fmt.Errorf("write journal: %w", err)
	} else {
		j.size += int64(len(buffer))
		j.synced = number
	}
	j.changed.Broadcast()
}

// Compact replaces the journal by the given records; nothing may be appended
// meanwhile.
func (j *Journal) Compact(records []*vmpb.AccountRecord) error {
	j.flush()
	var data []byte
	var err error
	for _, r := range records {
		if data, err = encode(data, r); err != nil {
			return err
		}
	}
	file, err := writeNew(j.folder, data)
	if err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_ = j.file.Close()
	j.file, j.size = file, int64(len(data))
	return nil
}

func writeNew(folder string, data []byte) (*os.File, error) {
	path := filepath.Join(folder, newName)
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("compact journal: %w", err)
	}
	if _, err = file.Write(data); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = os.Rename(path, filepath.Join(folder, journalName))
	}
	if err == nil {
		err = syncFolder(folder)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("compact journal: %w", err), file.Close())
	}
	return file, nil
}

// Close writes what is queued and closes the file.
func (j *Journal) Close() error {
	j.flush()
	j.mu.Lock()
	if j.err == nil {
		j.err = errJournalClosed
	}
	j.changed.Broadcast()
	j.mu.Unlock()
	if err := j.file.Close(); err != nil {
		return fmt.Errorf("close journal: %w", err)
	}
	return nil
}
