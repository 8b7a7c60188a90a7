package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// reportMode is the permission of a report's file.
const reportMode = 0o644

// newFile is the part of *os.File that a report is written through.
type newFile interface {
	io.WriteCloser
	Name() string
	Chmod(fs.FileMode) error
	Sync() error
}

// reportFolder writes reports by the calls of a file system, each of which may fail.
type reportFolder struct {
	create func(folder, pattern string) (newFile, error) // a file with a name of its own
	rename func(from, to string) error
	remove func(name string) error
	sync   func(folder string) error
}

// reportFiles is the file system.
var reportFiles = reportFolder{
	create: func(folder, pattern string) (newFile, error) { return os.CreateTemp(folder, pattern) },
	rename: os.Rename,
	remove: os.Remove,
	sync:   syncFolder,
}

// syncFolder has a folder's entries stored.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// write replaces the report at path in one step: a new file in the same folder is written, synced and renamed.
// After an error before the rename, what was at path is as it was and the new file is removed. What is no regular
// file, as /dev/stdout, is written to in place.
func (r reportFolder) write(path string, text []byte) error {
	if info, err := os.Lstat(path); err == nil && !info.Mode().IsRegular() {
		return os.WriteFile(path, text, reportMode)
	}
	folder := filepath.Dir(path)
	f, err := r.create(folder, "."+filepath.Base(path)+".new-*")
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	err = fill(f, text)
	if err == nil {
		err = r.rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, errors.Join(err, r.remove(f.Name())))
	}
	if err := r.sync(folder); err != nil {
		return fmt.Errorf("%s: the folder was not synced: %w", path, err)
	}
	return nil
}

// fill writes and closes a new file. Once it returns without an error, the text is stored.
func fill(f newFile, text []byte) error {
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
