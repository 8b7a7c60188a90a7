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

// failingFile is a temporary file whose calls fail with the given errors. Write fails after space bytes.
type failingFile struct {
	tempFile
	space                    int
	write, sync, mode, close error
}

func (f *failingFile) Write(p []byte) (int, error) {
	if len(p) <= f.space {
		return f.tempFile.Write(p)
	}
	n, err := f.tempFile.Write(p[:f.space])
	return n, errors.Join(err, f.write) // a short write if f.write is nil
}

func (f *failingFile) Chmod(mode fs.FileMode) error {
	return errors.Join(f.tempFile.Chmod(mode), f.mode)
}
func (f *failingFile) Sync() error  { return errors.Join(f.tempFile.Sync(), f.sync) }
func (f *failingFile) Close() error { return errors.Join(f.tempFile.Close(), f.close) }

const (
	oldReport = "the report of an earlier run\n"
	newReport = "{\"a\": \"new report\"}\n"
)

// failedWrite describes a write of a report that must fail with the error want.
type failedWrite struct {
	file   failingFile
	rename error
	want   error
}

// If a report can't be written completely, the old one is kept and no new file is left. The error names the report.
func TestFailedWriteKeepsOldReport(t *testing.T) {
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

// checkFailedWrite writes a report in a way that fails, and checks that the old one is unchanged.
func checkFailedWrite(t *testing.T, test failedWrite, old string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "report.json")
	if old != "" {
		if err := os.WriteFile(path, []byte(old), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	writer := osReportWriter
	writer.createTemp = func(dir, pattern string) (tempFile, error) {
		f, err := os.CreateTemp(dir, pattern)
		file := test.file
		file.tempFile = f
		return &file, err
	}
	if test.rename != nil {
		writer.rename = func(string, string) error { return test.rename }
	}
	err := writer.write(path, []byte(newReport))
	if !errors.Is(err, test.want) || !strings.Contains(err.Error(), path) {
		t.Errorf("write() = %v, want the error %v with the path %s", err, test.want, path)
	}
	checkDirectory(t, path, old)
}

// checkDirectory checks that the file at path contains the text want, or doesn't exist if want is empty, and that its
// directory contains no other file.
func checkDirectory(t *testing.T, path, want string) {
	t.Helper()
	entries, err := os.ReadDir(filepath.Dir(path))
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if want == "" {
		if len(entries) != 0 || !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("the directory contains %v, want no file", entries)
		}
		return
	}
	if err != nil || string(text) != want || len(entries) != 1 {
		t.Errorf("error %v, text %q, directory %v; want only a file with %q", err, text, entries, want)
	}
}

// The file is synced before it is renamed, and its directory afterwards.
func TestReportIsSyncedThenRenamed(t *testing.T) {
	for _, old := range []string{"", oldReport} {
		path := filepath.Join(t.TempDir(), "report.json")
		if old != "" {
			if err := os.WriteFile(path, []byte(old), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		var steps []string
		writer := osReportWriter
		writer.createTemp = func(dir, pattern string) (tempFile, error) {
			f, err := os.CreateTemp(dir, pattern)
			return &recordingFile{f, &steps}, err
		}
		writer.rename = func(from, to string) error { steps = append(steps, "rename"); return os.Rename(from, to) }
		writer.syncDir = func(name string) error {
			steps = append(steps, "sync directory")
			if name != filepath.Dir(path) {
				t.Errorf("directory %s is synced, want that of the report", name)
			}
			return syncDirectory(name)
		}
		if err := writer.write(path, []byte(newReport)); err != nil {
			t.Fatal(err)
		}
		checkDirectory(t, path, newReport)
		if got := strings.Join(steps, ", "); got != "sync, close, rename, sync directory" {
			t.Errorf("steps %s, want sync, close, rename, sync directory", got)
		}
		if info, err := os.Stat(path); err != nil || info.Mode() != reportMode {
			t.Errorf("error %v, mode %v, want 0644", err, info.Mode())
		}
	}
}

// recordingFile is a temporary file that records its calls of Sync and Close.
type recordingFile struct {
	tempFile
	steps *[]string
}

func (f *recordingFile) Sync() error {
	*f.steps = append(*f.steps, "sync")
	return f.tempFile.Sync()
}

func (f *recordingFile) Close() error {
	*f.steps = append(*f.steps, "close")
	return f.tempFile.Close()
}

// A directory that can't be synced or doesn't exist causes an error that names the report.
func TestReportDirectoryErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report.json")
	writer := osReportWriter
	writer.syncDir = func(string) error { return syscall.EIO }
	err := writer.write(path, []byte(newReport))
	if !errors.Is(err, syscall.EIO) || !strings.Contains(err.Error(), path) {
		t.Errorf("failed sync of the directory: error %v, want EIO with the path", err)
	}
	checkDirectory(t, path, newReport)
	missing := filepath.Join(t.TempDir(), "none", "report.json")
	err = osReportWriter.write(missing, []byte(newReport))
	if !errors.Is(err, fs.ErrNotExist) || !strings.Contains(err.Error(), missing) {
		t.Errorf("missing directory: error %v, want ErrNotExist with the path", err)
	}
}

// A file that is not regular is written to in place, not replaced.
func TestReportToDeviceOrLink(t *testing.T) {
	dir := t.TempDir()
	path, link := filepath.Join(dir, "report.json"), filepath.Join(dir, "link")
	if err := os.Symlink(path, link); err != nil {
		t.Fatal(err)
	}
	if err := osReportWriter.write(link, []byte(newReport)); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	info, linkErr := os.Lstat(link)
	if err != nil || string(text) != newReport || linkErr != nil || info.Mode()&fs.ModeSymlink == 0 {
		t.Errorf("errors %v, %v; text %q, mode %v; want the new report behind a link", err, linkErr, text, info.Mode())
	}
}
