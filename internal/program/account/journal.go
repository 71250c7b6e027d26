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
	journalFile   = "accounts.journal"
	compactedFile = "accounts.journal.new"
	headerBytes   = 8
	// maxRecordBytes is the limit above which a length is taken as corrupt.
	maxRecordBytes = 64 << 10
	// compactThreshold is the size in bytes above which a journal is compacted.
	compactThreshold = 32 << 20
)

// errJournalClosed is returned for a record appended after Close.
var errJournalClosed = errors.New("journal is closed")

// Journal is an append-only file of records. Records appended while a sync runs
// share the next one.
type Journal struct {
	folder string

	// flushMu serialises writes to the file.
	flushMu sync.Mutex

	mu          sync.Mutex
	file        *os.File
	size        int64
	buffer      []byte
	appendedSeq uint64
	syncedSeq   uint64
	err         error
	syncCond    *sync.Cond
	wake        chan struct{}
}

// OpenJournal opens the journal in a folder and passes its records to replay. It
// truncates the file at the first incomplete or corrupt record, which a power
// loss can leave. created reports that there was no valid record.
func OpenJournal(folder string, replay func(*vmpb.AccountRecord)) (j *Journal, created bool, err error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, false, fmt.Errorf("open journal: %w", err)
	}
	path := filepath.Join(folder, journalFile)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, false, fmt.Errorf("open journal: %w", err)
	}
	validBytes := decode(data, replay)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, false, fmt.Errorf("open journal: %w", err)
	}
	j = &Journal{folder: folder, file: file, size: int64(validBytes), wake: make(chan struct{}, 1)}
	j.syncCond = sync.NewCond(&j.mu)
	if err := j.prepare(); err != nil {
		return nil, false, errors.Join(err, file.Close())
	}
	go j.flushLoop()
	return j, validBytes == 0, nil
}

// prepare truncates the file to its valid records and syncs the file and the
// folder, so that the file name is durable too.
func (j *Journal) prepare() error {
	if err := j.file.Truncate(j.size); err != nil {
		return fmt.Errorf("truncate journal: %w", err)
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

// decode passes the records before the first corrupt one to replay and returns
// their length in bytes.
func decode(data []byte, replay func(*vmpb.AccountRecord)) int {
	offset := 0
	for len(data)-offset >= headerBytes {
		length := int(binary.BigEndian.Uint32(data[offset:]))
		sum := binary.BigEndian.Uint32(data[offset+4:])
		end := offset + headerBytes + length
		if length == 0 || length > maxRecordBytes || end > len(data) {
			break
		}
		payload := data[offset+headerBytes : end]
		var record vmpb.AccountRecord
		if crc32.ChecksumIEEE(payload) != sum || proto.Unmarshal(payload, &record) != nil {
			break
		}
		replay(&record)
		offset = end
	}
	return offset
}

func encode(buffer []byte, record *vmpb.AccountRecord) ([]byte, error) {
	payload, err := proto.Marshal(record)
	if err != nil {
		return buffer, fmt.Errorf("encode record: %w", err)
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.BigEndian.AppendUint32(buffer, crc32.ChecksumIEEE(payload))
	return append(buffer, payload...), nil
}

// Append queues a record and returns its sequence number for Wait.
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
	j.appendedSeq++
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return j.appendedSeq, nil
}

// Wait waits until a record is on disk.
func (j *Journal) Wait(seq uint64) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for j.syncedSeq < seq && j.err == nil {
		j.syncCond.Wait()
	}
	if j.syncedSeq >= seq {
		return nil
	}
	return j.err
}

// NeedsCompaction reports whether the journal should be compacted.
func (j *Journal) NeedsCompaction() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.size > compactThreshold
}

func (j *Journal) flushLoop() {
	for range j.wake {
		j.flush()
	}
}

// flush writes and syncs the queued records.
func (j *Journal) flush() {
	j.flushMu.Lock()
	defer j.flushMu.Unlock()
	j.mu.Lock()
	buffer, seq, file := j.buffer, j.appendedSeq, j.file
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
		// The contents of the file are unknown after a failed write, so every
		// later Append and Wait fails and no tokens are granted.
		j.err = fmt.Errorf("write journal: %w", err)
	} else {
		j.size += int64(len(buffer))
		j.syncedSeq = seq
	}
	j.syncCond.Broadcast()
}

// Compact replaces the contents of the journal by the given records. Nothing may
// be appended concurrently.
func (j *Journal) Compact(records []*vmpb.AccountRecord) error {
	j.flush()
	var data []byte
	var err error
	for _, r := range records {
		if data, err = encode(data, r); err != nil {
			return err
		}
	}
	file, err := writeCompacted(j.folder, data)
	if err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_ = j.file.Close()
	j.file, j.size = file, int64(len(data))
	return nil
}

func writeCompacted(folder string, data []byte) (*os.File, error) {
	path := filepath.Join(folder, compactedFile)
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("compact journal: %w", err)
	}
	if _, err = file.Write(data); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = os.Rename(path, filepath.Join(folder, journalFile))
	}
	if err == nil {
		err = syncFolder(folder)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("compact journal: %w", err), file.Close())
	}
	return file, nil
}

// Close writes the queued records and closes the file.
func (j *Journal) Close() error {
	j.flush()
	j.mu.Lock()
	if j.err == nil {
		j.err = errJournalClosed
	}
	j.syncCond.Broadcast()
	j.mu.Unlock()
	if err := j.file.Close(); err != nil {
		return fmt.Errorf("close journal: %w", err)
	}
	return nil
}
