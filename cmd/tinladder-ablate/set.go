package main

import (
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// journalDir is where the bench writes an entry for each run.
const journalDir = "journal"

// template is what nodes' settings are made from, and settings are added to it for a trial.
const template = "deploy/node.toml.template"

// A play is one day of a deployment, played once.
type play struct {
	site, day string
	seed      uint64
}

// A result is how a day went.
type result struct {
	worth, unserved float64
	broken          int
}

// A set is the same days, played with each mechanism off.
type set struct {
	args  arguments
	plays []play

	mu      sync.Mutex
	order   []string
	results map[string]map[play]result
}

func newSet(args arguments) *set {
	s := &set{args: args, results: map[string]map[play]result{}}
	for _, site := range args.Sites {
		for _, day := range args.Days {
			if len(args.Seeds) == 0 {
				s.plays = append(s.plays, play{site: site, day: day})
			}
			for _, seed := range args.Seeds {
				s.plays = append(s.plays, play{site: site, day: day, seed: seed})
			}
		}
	}
	return s
}

// play plays all days with the mechanism off, or with all on if it is "".
func (s *set) play(off string) (err error) {
	defer func() { err = errors.Wrapf(err, "without %q", off) }()
	s.order = append(s.order, off)
	s.results[off] = map[play]result{}
	dir := filepath.Join(s.args.Dir, "without-"+off)
	if err := copyRepository(dir, off); err != nil {
		return err
	}
	errs := make([]error, len(s.plays))
	slots := make(chan struct{}, max(s.args.Jobs, 1))
	var wg sync.WaitGroup
	for i, p := range s.plays {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs[i] = s.one(dir, off, p)
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return keepJournal(dir)
}

// copyRepository clones the repository as it is committed, and switches the mechanism off there.
func copyRepository(dir, off string) error {
	if err := command(".", "git", "clone", "--quiet", ".", dir); err != nil {
		return err
	}
	if off == "" {
		return nil
	}
	f, err := os.OpenFile(filepath.Join(dir, template), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f, "\n[trial]\noff = [%q]\n", off)
	return errors.CombineErrors(err, f.Close())
}

// one plays one day.
func (s *set) one(dir, off string, p play) error {
	report, err := os.CreateTemp(s.args.Dir, "report")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(report.Name()) }()
	if err := report.Close(); err != nil {
		return err
	}
	why := "Ablation: all mechanisms on"
	if off != "" {
		why = "Ablation: without " + off
	}
	argv := []string{"run", p.site, p.day, "--no-cpu", "--jobs", "1", "--report", report.Name(), "--why", why}
	if p.seed != 0 {
		argv = append(argv, "--seed", fmt.Sprint(p.seed))
	}
	if err := command(dir, s.args.Bench, argv...); err != nil {
		return err
	}
	raw, err := os.ReadFile(report.Name())
	if err != nil {
		return err
	}
	var day struct {
		Worth    float64        `json:"G"`
		Unserved float64        `json:"unserved"`
		Breaks   map[string]any `json:"breaks"`
	}
	if err := json.Unmarshal(raw, &day); err != nil {
		return errors.Wrapf(err, "report of %s", p.day)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[off][p] = result{worth: day.Worth, unserved: day.Unserved, broken: len(day.Breaks)}
	return nil
}

// keepJournal brings what the bench wrote of the runs back into the repository's journal.
func keepJournal(dir string) error {
	from := filepath.Join(dir, journalDir)
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		return copyNew(path, filepath.Join(journalDir, rel))
	})
}

// copyNew copies a file unless it is there.
func copyNew(from, to string) error {
	if _, err := os.Stat(to); err == nil {
		return nil
	}
	raw, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		return err
	}
	return os.WriteFile(to, raw, 0o644)
}

func command(dir, name string, argv ...string) error {
	c := exec.Command(name, argv...)
	c.Dir = dir
	if out, err := c.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "%s %s: %s", name, strings.Join(argv, " "), out)
	}
	return nil
}

// print writes, for each site, the mean worth and share not served without each mechanism, and the
// differences to all.
func (s *set) print(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 1, ' ', 0)
	header := []string{"| without"}
	for _, site := range s.args.Sites {
		name := strings.TrimSuffix(filepath.Base(site), filepath.Ext(site))
		header = append(header, name+": worth", "not served")
	}
	fmt.Fprintln(w, strings.Join(header, "\t| ")+"\t| broken\t|")
	fmt.Fprintln(w, "|"+strings.Repeat(" --- |", len(header)+1))
	for _, off := range s.order {
		fmt.Fprintln(w, s.row(off))
	}
	return w.Flush()
}

func (s *set) row(off string) string {
	name := "(all on)"
	if off != "" {
		name = off
	}
	cells := []string{"| " + name}
	broken := 0
	for _, site := range s.args.Sites {
		r, all := s.mean(off, site), s.mean("", site)
		broken += r.broken
		if off == "" {
			cells = append(cells, fmt.Sprintf("%.3f", r.worth), fmt.Sprintf("%.1f%%", 100*r.unserved))
			continue
		}
		cells = append(cells, fmt.Sprintf("%+.3f", r.worth-all.worth), fmt.Sprintf("%+.1f", 100*(r.unserved-all.unserved)))
	}
	return strings.Join(cells, "\t| ") + fmt.Sprintf("\t| %d\t|", broken)
}

// mean is over the days of a site.
func (s *set) mean(off, site string) (m result) {
	n := 0.0
	for p, r := range s.results[off] {
		if p.site == site {
			m.worth += r.worth
			m.unserved += r.unserved
			m.broken += r.broken
			n++
		}
	}
	m.worth /= max(n, 1)
	m.unserved /= max(n, 1)
	return m
}
