package main

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// failingFile stores as many bytes as its disk has space for, then fails to write, or fails at another call.
type failingFile struct {
	newFile
	space                    int
	write, sync, mode, close error
}

func (f *failingFile) Write(p []byte) (int, error) {
	if len(p) <= f.space {
		return f.newFile.Write(p)
	}
	n, err := f.newFile.Write(p[:f.space])
	return n, errors.Join(err, f.write) // without an error: a short write
}

func (f *failingFile) Chmod(mode fs.FileMode) error {
	return errors.Join(f.newFile.Chmod(mode), f.mode)
}
func (f *failingFile) Sync() error  { return errors.Join(f.newFile.Sync(), f.sync) }
func (f *failingFile) Close() error { return errors.Join(f.newFile.Close(), f.close) }

const (
	oldReport = "the report of an earlier run\n"
	newReport = "{\"a\": \"new report\"}\n"
)

// failedWrite is a write of a report that fails with an error.
type failedWrite struct {
	file   failingFile
	rename error
	want   error
}

// A report that can't be written completely leaves the one before, and no new file; the error names the file.
func TestFailedReportLeavesTheOldOne(t *testing.T) {
	all := len(newReport)
	for name, test := range map[string]failedWrite{
		"no space at the first byte": {file: failingFile{space: 0, write: syscall.ENOSPC}, want: syscall.ENOSPC},
		"no space at the last byte":  {file: failingFile{space: all - 1, write: syscall.ENOSPC}, want: syscall.ENOSPC},
		"bad disk in the middle":     {file: failingFile{space: all / 2, write: syscall.EIO}, want: syscall.EIO},
		"short write, no error":      {file: failingFile{space: all / 2}, want: io.ErrShortWrite},
		"bad disk at the sync":       {file: failingFile{space: all, sync: syscall.EIO}, want: syscall.EIO},
		"no space at the sync":       {file: failingFile{space: all, sync: syscall.ENOSPC}, want: syscall.ENOSPC},
		"mode refused":               {file: failingFile{space: all, mode: syscall.EPERM}, want: syscall.EPERM},
		"bad disk at the close":      {file: failingFile{space: all, close: syscall.EIO}, want: syscall.EIO},
		"bad disk at the rename":     {file: failingFile{space: all}, rename: syscall.EIO, want: syscall.EIO},
	} {
		t.Run(name, func(t *testing.T) {
			t.Run("no old report", func(t *testing.T) { checkFailedWrite(t, test, "") })
			t.Run("an old report", func(t *testing.T) { checkFailedWrite(t, test, oldReport) })
		})
	}
}

// checkFailedWrite writes a report in a way that fails, and wants the old one untouched.
func checkFailedWrite(t *testing.T, test failedWrite, old string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "report.json")
	if old != "" {
		if err := os.WriteFile(path, []byte(old), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	folder := reportFiles
	folder.create = func(in, pattern string) (newFile, error) {
		f, err := os.CreateTemp(in, pattern)
		file := test.file
		file.newFile = f
		return &file, err
	}
	if test.rename != nil {
		folder.rename = func(string, string) error { return test.rename }
	}
	err := folder.write(path, []byte(newReport))
	if !errors.Is(err, test.want) || !strings.Contains(err.Error(), path) {
		t.Errorf("error %v, want %v at %s", err, test.want, path)
	}
	checkFolder(t, path, old)
}

// checkFolder wants the text at path, or nothing if it is empty, and no other file in the folder.
func checkFolder(t *testing.T, path, want string) {
	t.Helper()
	entries, err := os.ReadDir(filepath.Dir(path))
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if want == "" {
		if len(entries) != 0 || !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("%v are there", entries)
		}
		return
	}
	if err != nil || string(text) != want || len(entries) != 1 {
		t.Errorf("%v, %q among %v, want %q", err, text, entries, want)
	}
}

// The file is synced before it is renamed, and its folder after.
func TestReportIsSyncedThenRenamed(t *testing.T) {
	for _, old := range []string{"", oldReport} {
		path := filepath.Join(t.TempDir(), "report.json")
		if old != "" {
			if err := os.WriteFile(path, []byte(old), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		var steps []string
		folder := reportFiles
		folder.create = func(in, pattern string) (newFile, error) {
			f, err := os.CreateTemp(in, pattern)
			return &orderedFile{f, &steps}, err
		}
		folder.rename = func(from, to string) error { steps = append(steps, "rename"); return os.Rename(from, to) }
		folder.sync = func(name string) error {
			steps = append(steps, "sync folder")
			if name != filepath.Dir(path) {
				t.Errorf("%s is synced", name)
			}
			return syncFolder(name)
		}
		if err := folder.write(path, []byte(newReport)); err != nil {
			t.Fatal(err)
		}
		checkFolder(t, path, newReport)
		if got := strings.Join(steps, ", "); got != "sync, close, rename, sync folder" {
			t.Errorf("steps %s", got)
		}
		if info, err := os.Stat(path); err != nil || info.Mode() != reportMode {
			t.Errorf("%v: mode %v", err, info.Mode())
		}
	}
}

type orderedFile struct {
	newFile
	steps *[]string
}

func (f *orderedFile) Sync() error  { *f.steps = append(*f.steps, "sync"); return f.newFile.Sync() }
func (f *orderedFile) Close() error { *f.steps = append(*f.steps, "close"); return f.newFile.Close() }

// A folder that can't be synced, or has no such file, is an error that names the report.
func TestReportFolderErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report.json")
	folder := reportFiles
	folder.sync = func(string) error { return syscall.EIO }
	err := folder.write(path, []byte(newReport))
	if !errors.Is(err, syscall.EIO) || !strings.Contains(err.Error(), path) {
		t.Errorf("sync: %v", err)
	}
	checkFolder(t, path, newReport)
	missing := filepath.Join(t.TempDir(), "none", "report.json")
	err = reportFiles.write(missing, []byte(newReport))
	if !errors.Is(err, fs.ErrNotExist) || !strings.Contains(err.Error(), missing) {
		t.Errorf("no folder: %v", err)
	}
}

// What is no regular file is written to, not replaced.
func TestReportToDeviceOrLink(t *testing.T) {
	dir := t.TempDir()
	path, link := filepath.Join(dir, "report.json"), filepath.Join(dir, "link")
	if err := os.Symlink(path, link); err != nil {
		t.Fatal(err)
	}
	if err := reportFiles.write(link, []byte(newReport)); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	info, linkErr := os.Lstat(link)
	if err != nil || string(text) != newReport || linkErr != nil || info.Mode()&fs.ModeSymlink == 0 {
		t.Errorf("%v, %v: %q, %v", err, linkErr, text, info.Mode())
	}
}
