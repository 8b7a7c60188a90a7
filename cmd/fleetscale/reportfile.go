package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// reportMode is the file mode of a report.
const reportMode = 0o644

// tempFile is the part of *os.File that reportWriter uses.
type tempFile interface {
	io.WriteCloser
	Name() string
	Chmod(fs.FileMode) error
	Sync() error
}

// reportWriter writes report files. Its fields are the file system calls that it uses, so that tests can replace them.
type reportWriter struct {
	createTemp func(dir, pattern string) (tempFile, error) // creates a file with a unique name
	rename     func(from, to string) error
	remove     func(name string) error
	syncDir    func(dir string) error
}

// osReportWriter writes to the file system of the operating system.
var osReportWriter = reportWriter{
	createTemp: func(dir, pattern string) (tempFile, error) { return os.CreateTemp(dir, pattern) },
	rename:     os.Rename,
	remove:     os.Remove,
	syncDir:    syncDirectory,
}

// syncDirectory flushes the entries of a directory to storage.
func syncDirectory(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// write replaces the report at path atomically: it writes and syncs a temporary file in the same directory and renames
// it. On an error before the rename, it removes the temporary file and leaves the file at path unchanged. If path is
// not a regular file, like /dev/stdout, it is written to in place.
func (r reportWriter) write(path string, text []byte) error {
	if info, err := os.Lstat(path); err == nil && !info.Mode().IsRegular() {
		return os.WriteFile(path, text, reportMode)
	}
	dir := filepath.Dir(path)
	f, err := r.createTemp(dir, "."+filepath.Base(path)+".new-*")
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	err = writeAndSync(f, text)
	if err == nil {
		err = r.rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, errors.Join(err, r.remove(f.Name())))
	}
	if err := r.syncDir(dir); err != nil {
		return fmt.Errorf("%s: sync of its directory failed: %w", path, err)
	}
	return nil
}

// writeAndSync writes, syncs and closes a new file. If it returns nil, the text is on storage.
func writeAndSync(f tempFile, text []byte) error {
	n, err := f.Write(text)
	if err == nil && n < len(text) {
		err = io.ErrShortWrite
	}
	if err == nil {
		err = f.Chmod(reportMode)
	}
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}
