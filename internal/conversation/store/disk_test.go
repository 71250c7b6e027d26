package store_test

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"hawthornrail.example/hawthornrail/internal/conversation/store"
)

var errDisk = errors.New("disk fails")

// quickDisk is a disk whose syncs cost nothing.
type quickDisk struct{ store.Disk }

func (d quickDisk) Create(path string) (store.File, error) {
	f, err := d.Disk.Create(path)
	return quickFile{f}, err
}

func (d quickDisk) Open(path string) (store.File, error) {
	f, err := d.Disk.Open(path)
	return quickFile{f}, err
}

func (quickDisk) SyncFolder(string) error { return nil }

type quickFile struct{ store.File }

func (quickFile) Sync() error { return nil }

// faultyDisk is a disk that can refuse writes or syncs, and that knows what a power loss
// leaves of each file.
type faultyDisk struct {
	store.Disk

	mu        sync.Mutex
	failWrite bool
	failSync  bool
	// failTruncate leaves what a failed write has left.
	failTruncate bool
	// hang blocks syncs until it is closed, unless it is nil.
	hang    chan struct{}
	synced  map[string]int64
	written map[string]int64
}

func newFaultyDisk() *faultyDisk {
	return &faultyDisk{Disk: quickDisk{store.NewDisk()}, synced: make(map[string]int64), written: make(map[string]int64)}
}

func (d *faultyDisk) set(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *faultyDisk) Create(path string) (store.File, error) {
	f, err := d.Disk.Create(path)
	return &faultyFile{File: f, disk: d, path: path}, err
}

func (d *faultyDisk) Open(path string) (store.File, error) {
	f, err := d.Disk.Open(path)
	info, statErr := os.Stat(path)
	if err = errors.Join(err, statErr); err == nil {
		d.set(func() { d.written[path], d.synced[path] = info.Size(), info.Size() })
	}
	return &faultyFile{File: f, disk: d, path: path}, err
}

type faultyFile struct {
	store.File
	disk *faultyDisk
	path string
}

func (f *faultyFile) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	fails := f.disk.failWrite
	f.disk.mu.Unlock()
	if fails {
		// A full disk takes a part of the data.
		n, _ := f.File.Write(data[:len(data)/2])
		f.disk.set(func() { f.disk.written[f.path] += int64(n) })
		return n, errDisk
	}
	n, err := f.File.Write(data)
	f.disk.set(func() { f.disk.written[f.path] += int64(n) })
	return n, err
}

func (f *faultyFile) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.failTruncate {
		return errDisk
	}
	f.disk.written[f.path] = size
	f.disk.synced[f.path] = min(f.disk.synced[f.path], size)
	return f.File.Truncate(size)
}

func (f *faultyFile) Sync() error {
	f.disk.mu.Lock()
	fails, hang, size := f.disk.failSync, f.disk.hang, f.disk.written[f.path]
	f.disk.mu.Unlock()
	if hang != nil {
		<-hang
	}
	if fails {
		return errDisk
	}
	f.disk.set(func() { f.disk.synced[f.path] = size })
	return f.File.Sync()
}

// afterPowerLoss returns a copy of a folder in which each file has what its last sync
// covered and keep bytes of what was written later.
func (d *faultyDisk) afterPowerLoss(t testing.TB, folder string, keep func(unsynced int64) int64) string {
	t.Helper()
	lost := t.TempDir()
	d.copySynced(t, folder, lost, keep)
	return lost
}

// copySynced copies what a power loss leaves of a folder.
func (d *faultyDisk) copySynced(t fataler, folder, lost string, keep func(unsynced int64) int64) {
	files, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		path := filepath.Join(folder, f.Name())
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		d.mu.Lock()
		if size, ok := d.synced[path]; ok || filepath.Ext(path) == ".turns" {
			data = data[:size+keep(int64(len(data))-size)]
		}
		d.mu.Unlock()
		if err := os.WriteFile(filepath.Join(lost, f.Name()), data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// fataler is what a test and a property fail by.
type fataler interface {
	Fatal(args ...any)
}
