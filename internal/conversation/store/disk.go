package store

import (
	"fmt"
	"io"
	"os"
)

// File is an open file of the store.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	// Sync returns once everything written is on the disk.
	Sync() error
	Truncate(size int64) error
}

// Disk creates, opens and removes files; tests replace it with one that fails.
type Disk interface {
	// Create creates a file for appending.
	Create(path string) (File, error)
	// Open opens an existing file for reading and truncation.
	Open(path string) (File, error)
	Remove(path string) error
	// SyncFolder makes the creation, renaming and removal of files durable.
	SyncFolder(folder string) error
}

// osDisk is the disk of the machine.
type osDisk struct{}

// NewDisk returns the disk of the machine.
func NewDisk() Disk { return osDisk{} }

// Create implements Disk.
func (osDisk) Create(path string) (File, error) {
	return openFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR|os.O_APPEND)
}

// Open implements Disk.
func (osDisk) Open(path string) (File, error) { return openFile(path, os.O_RDWR) }

func openFile(path string, flags int) (File, error) {
	f, err := os.OpenFile(path, flags, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open file: %w", err)
	}
	return f, nil
}

// Remove implements Disk.
func (osDisk) Remove(path string) error {
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("remove file: %w", err)
	}
	return nil
}

// SyncFolder implements Disk.
func (osDisk) SyncFolder(folder string) error {
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
