package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/schollz/progressbar/v3"
	"github.com/tinladder/tinladder/trace"
	"golang.org/x/term"
)

// stdin stands for standard input among the paths of logs.
const stdin = "-"

// errNoLog says that the logs hold nothing that a node wrote.
var errNoLog = errors.New("no line that a node wrote (time=... event=...)")

// terminal returns the file if somebody looks at it, else nil.
func terminal(f *os.File) io.Writer {
	if term.IsTerminal(int(f.Fd())) {
		return f
	}
	return nil
}

// readLogs reads the logs at the paths, or standard input if there is none or a "-", once for each pass. It holds one
// line at a time.
func readLogs(o *output, paths []string, passes ...func(l *trace.Line)) (err error) {
	defer func() { err = errors.Wrap(err, "logs") }()
	if len(paths) == 0 {
		paths = []string{stdin}
	}
	files, bytes, end, err := findLogs(paths, len(passes) > 1)
	if err != nil {
		return err
	}
	defer end()
	bar := io.Discard
	if o.progress != nil {
		shown := progressbar.NewOptions64(bytes*int64(len(passes)), progressbar.OptionSetWriter(o.progress),
			progressbar.OptionSetDescription("logs"), progressbar.OptionShowBytes(true), progressbar.OptionClearOnFinish())
		defer func() { _ = shown.Close() }()
		bar = shown
	}
	for _, pass := range passes {
		lines := 0
		for i, path := range files {
			err := readLog(path, sourceOf(paths[i]), bar, func(l *trace.Line) {
				lines++
				pass(l)
			})
			if err != nil {
				return err
			}
		}
		if lines == 0 {
			return errors.Wrap(errNoLog, strings.Join(paths[:min(len(paths), namedLogs)], ", "))
		}
	}
	return nil
}

// namedLogs is how many logs an error names.
const namedLogs = 3

// findLogs returns where the logs are read, and how many bytes they have. Standard input that is read more than once
// is kept in a file until the end.
func findLogs(paths []string, again bool) (files []string, bytes int64, end func(), err error) {
	kept := ""
	end = func() {
		if kept != "" {
			_ = os.Remove(kept)
		}
	}
	defer func() {
		if err != nil {
			end()
		}
	}()
	for _, path := range paths {
		if path == stdin && again {
			if kept == "" {
				if kept, err = keep(os.Stdin); err != nil {
					return nil, 0, end, err
				}
			}
			path = kept
		}
		if path != stdin {
			info, err := os.Stat(path)
			if err != nil {
				return nil, 0, end, err
			}
			if info.IsDir() {
				return nil, 0, end, errors.Newf("%s is a directory; name the logs in it", path)
			}
			bytes += info.Size()
		}
		files = append(files, path)
	}
	return files, bytes, end, nil
}

// keep writes what comes to a file of its own.
func keep(r io.Reader) (path string, err error) {
	f, err := os.CreateTemp("", "tinladderctl")
	if err != nil {
		return "", err
	}
	_, err = io.Copy(f, r)
	if err = errors.CombineErrors(err, f.Close()); err != nil {
		_ = os.Remove(f.Name())
		return "", err
	}
	return f.Name(), nil
}

// sourceOf returns what lines of the log are called that do not name their node.
func sourceOf(path string) string {
	if path == stdin {
		return ""
	}
	return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
}

func readLog(path, source string, bar io.Writer, f func(l *trace.Line)) error {
	var r io.Reader = os.Stdin
	if path != stdin {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		r = file
	}
	return trace.Read(source, io.TeeReader(r, bar), f)
}
