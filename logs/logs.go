package logs

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// A Log is a logrus logger that writes through a Sink. Warnings and errors are Important, all others Ordinary.
type Log struct {
	*logrus.Logger
	sink *Sink
}

// New returns a log that writes entries of at least the given level to out, as lines of key=value pairs.
func New(out io.Writer, level string) (l *Log, err error) {
	defer func() { err = errors.Wrap(err, "new log") }()
	lv, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	f := &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano}
	h := &hook{formatter: f}
	l = &Log{Logger: logrus.New()}
	l.SetLevel(lv)
	l.SetOutput(io.Discard)
	l.SetFormatter(discardFormatter{}) // the hook formats entries
	h.sink = NewSink(out, func(lines uint64) []byte {
		e := l.WithFields(logrus.Fields{"event": "log_lines_dropped", "lines": lines})
		e.Time, e.Level = time.Now(), logrus.WarnLevel
		b, _ := f.Format(e)
		return b
	})
	l.AddHook(h)
	l.sink = h.sink
	return l, nil
}

// Dropped returns the number of lines dropped because the reader was too slow.
func (l *Log) Dropped() uint64 { return l.sink.Dropped() }

// Written returns the number of bytes written.
func (l *Log) Written() uint64 { return l.sink.Written() }

// Close writes the buffered lines, and gives up after a short time if the reader does not accept them.
func (l *Log) Close() { l.sink.Close() }

// Done returns a channel that is closed when the log has stopped.
func (l *Log) Done() <-chan struct{} { return l.sink.Done() }

// discardFormatter returns no output, so that logrus itself writes nothing.
type discardFormatter struct{}

// Format implements logrus.Formatter.
func (discardFormatter) Format(*logrus.Entry) ([]byte, error) { return nil, nil }

// A hook formats each entry and passes it to the sink.
type hook struct {
	formatter logrus.Formatter
	sink      *Sink
}

// Levels implements logrus.Hook.
func (h *hook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h *hook) Fire(e *logrus.Entry) error {
	// logrus reuses the entry's buffer, but the sink keeps the line: format into a buffer of its own.
	entry := *e
	entry.Buffer = nil
	b, err := h.formatter.Format(&entry)
	if err != nil {
		return errors.Wrap(err, "format log line")
	}
	h.sink.Enqueue(classOf(e.Level), b)
	return nil
}

// classOf returns the class of entries of the level.
func classOf(l logrus.Level) Class {
	if l <= logrus.WarnLevel {
		return Important
	}
	return Ordinary
}
