package store

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

const (
	epochFile  = "epoch"
	epochBytes = 8
	// wholeFile marks a folder that once held all turns that it should.
	wholeFile = "whole"
	// disksFile has the disks of other VMs that were seen before.
	disksFile = "disks"
	// temporarySuffix follows the name of a file that is being written.
	temporarySuffix = ".new"
)

// loadEpoch reads the epoch of a folder, or creates one if there is none: positions in the
// log of a lost disk mean nothing in that of its replacement.
func loadEpoch(folder string, disk Disk) (uint64, error) {
	path := filepath.Join(folder, epochFile)
	data, err := os.ReadFile(path)
	if err == nil && len(data) == epochBytes {
		return binary.BigEndian.Uint64(data), nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, fmt.Errorf("read epoch: %w", err)
	}
	data = make([]byte, epochBytes)
	// Read never fails, by its documentation.
	_, _ = rand.Read(data)
	if err := writeFile(folder, epochFile, data, disk); err != nil {
		return 0, fmt.Errorf("write epoch: %w", err)
	}
	return binary.BigEndian.Uint64(data), nil
}

// writeFile writes a file as a whole, under a temporary name at first.
func writeFile(folder, name string, data []byte, disk Disk) error {
	path := filepath.Join(folder, name+temporarySuffix)
	// A start that was cut off can have left one.
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	f, err := disk.Create(path)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(path, filepath.Join(folder, name)); err != nil {
		return err
	}
	return disk.SyncFolder(folder)
}

// Whole reports whether the folder once held all turns that it should, which MarkWhole records.
func (s *Store) Whole() bool {
	_, err := os.Stat(filepath.Join(s.options.Folder, wholeFile))
	return err == nil
}

// MarkWhole records that the folder holds all turns that it should.
func (s *Store) MarkWhole() error {
	if err := writeFile(s.options.Folder, wholeFile, nil, s.options.Disk); err != nil {
		return fmt.Errorf("mark the store of conversations: %w", err)
	}
	return nil
}

// Disks returns the disks of other VMs, by their addresses, that SaveDisks has recorded; ok is
// false if it never has.
func (s *Store) Disks() (disks map[string]uint64, ok bool, err error) {
	data, err := os.ReadFile(filepath.Join(s.options.Folder, disksFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, false, nil
	}
	if err == nil {
		err = json.Unmarshal(data, &disks)
	}
	if err != nil {
		return nil, false, fmt.Errorf("read the disks of other VMs: %w", err)
	}
	return disks, true, nil
}

// SaveDisks records the disks of other VMs, by their addresses.
func (s *Store) SaveDisks(disks map[string]uint64) error {
	data, err := json.Marshal(disks)
	if err == nil {
		err = writeFile(s.options.Folder, disksFile, data, s.options.Disk)
	}
	if err != nil {
		return fmt.Errorf("write the disks of other VMs: %w", err)
	}
	return nil
}
