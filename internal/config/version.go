package config

import (
	"encoding/json"
	"errors"
	"io/fs"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"rhubarbshore/internal/platform"
)

// Stream is the stream of the platform's log that contains the configuration.
const Stream = "config"

// Errors of reading the stream.
var (
	// ErrGap: the log dropped records before they were read, and no snapshot covers
	// them.
	ErrGap = errorx.NewType(errorx.NewNamespace("version"), "gap").New("records were dropped before they were read")
)

// Files are the contents of a configuration's files: the base and an overlay for each
// site.
type Files struct {
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays,omitempty"`
}

// Site parses the configuration of one site.
func (f Files) Site(site string) (*Config, error) { return Parse(f.Base, f.Overlays[site], site) }

// Check checks the configuration of every site that has an overlay, or the base alone
// if there are no overlays.
func (f Files) Check() error {
	var all Problems
	for _, site := range slices.Sorted(maps.Keys(f.Overlays)) {
		if _, err := f.Site(site); err != nil {
			var problems Problems
			if !errors.As(err, &problems) {
				return err
			}
			all = append(all, problems...)
		}
	}
	if len(f.Overlays) == 0 {
		_, err := f.Site("base")
		return err
	}
	if len(all) > 0 {
		return all
	}
	return nil
}

func (f Files) checksum() string {
	h := xxhash.New()
	_, _ = h.WriteString(f.Base)
	for _, site := range slices.Sorted(maps.Keys(f.Overlays)) {
		_, _ = h.WriteString("\x00" + site + "\x00" + f.Overlays[site])
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// Splice replaces Cut bytes of a file at offset At with Text. An empty file name
// stands for the base.
type Splice struct {
	File string `json:"file,omitempty"`
	At   int    `json:"at"`
	Cut  int    `json:"cut"`
	Text string `json:"text"`
}

// Change is a record of the stream. It is accepted if Parent is the version in force
// at its offset; otherwise all readers skip it. A record with Upto is a snapshot: the
// state after all records below that offset.
type Change struct {
	ID      string   `json:"id"`
	Parent  string   `json:"parent,omitempty"`
	Author  string   `json:"author,omitempty"`
	Sum     string   `json:"sum"`
	Number  int64    `json:"number,omitempty"`
	Upto    int64    `json:"upto,omitempty"`
	Files   *Files   `json:"files,omitempty"`
	Splices []Splice `json:"splices,omitempty"`
}

// Encode encodes the record for the log.
func (c Change) Encode() ([]byte, error) { return json.Marshal(c) }

// Version is the state of the stream after the records below Upto.
type Version struct {
	ID     string `json:"id"`
	Parent string `json:"parent"`
	Author string `json:"author"`
	Number int64  `json:"number"`
	Upto   int64  `json:"upto"`
	Files  Files  `json:"files"`
}

// NewChange returns the record that changes the version into files. It contains splices
// where they can express the change, and otherwise the whole files.
func NewChange(id, author string, from Version, files Files) Change {
	c := Change{ID: id, Author: author, Parent: from.ID, Sum: files.checksum()}
	splices, ok := diff(from.Files, files)
	if ok && from.ID != "" {
		c.Splices = splices
		return c
	}
	c.Files = &files
	return c
}

// Snapshot returns a record with the complete version.
func (v Version) Snapshot() Change {
	files := v.Files
	return Change{ID: v.ID, Parent: v.Parent, Author: v.Author, Sum: files.checksum(), Number: v.Number, Upto: v.Upto, Files: &files}
}

// Fold applies the record at the offset and returns the version after it. It depends
// only on its arguments, so that all readers agree. It does not validate the
// configuration: readers of another release may accept more or less, but have to
// agree on the order of versions.
func (v Version) Fold(offset int64, data []byte) Version { return v.fold(offset, data, false) }

// fold implements Fold. With ignoreParent it accepts a change with any parent, for tests
// that show what the check of the parent prevents.
func (v Version) fold(offset int64, data []byte, ignoreParent bool) Version {
	v.Upto = offset + 1
	var c Change
	if err := json.Unmarshal(data, &c); err != nil || c.Upto != 0 || c.ID == "" {
		return v
	}
	if c.Parent != v.ID && !ignoreParent {
		return v
	}
	files, ok := c.apply(v.Files)
	if !ok || files.checksum() != c.Sum {
		return v
	}
	return Version{ID: c.ID, Parent: c.Parent, Author: c.Author, Number: v.Number + 1, Upto: offset + 1, Files: files}
}

// DecodeSnapshot returns the version in the record if it is a snapshot and the log, whose
// oldest offset is first, still contains the records from the snapshot's Upto on.
func DecodeSnapshot(data []byte, first int64) (Version, bool) {
	var c Change
	if err := json.Unmarshal(data, &c); err != nil || c.Upto < first || c.Upto == 0 || c.Files == nil {
		return Version{}, false
	}
	return Version{ID: c.ID, Parent: c.Parent, Author: c.Author, Number: c.Number, Upto: c.Upto, Files: *c.Files}, true
}

// Load folds the records that the log retains, the oldest at offset first. It reports
// false if earlier records have been dropped and no snapshot covers them.
func Load(records []platform.Record, first int64) (Version, bool) {
	v, ok := Version{Upto: first}, first == 0
	for _, r := range records {
		if snapshot, isSnapshot := DecodeSnapshot(r.Data, first); isSnapshot && !ok {
			v, ok = snapshot, true
			break
		}
	}
	if !ok {
		return Version{}, len(records) == 0 && first == 0
	}
	return v.FoldAll(records), true
}

// FoldAll applies those of the records that the version does not include yet.
func (v Version) FoldAll(records []platform.Record) Version {
	for _, r := range records {
		if r.Offset >= v.Upto {
			v = v.Fold(r.Offset, r.Data)
		}
	}
	return v
}

func (c Change) apply(from Files) (Files, bool) {
	if c.Files != nil {
		return *c.Files, true
	}
	out := Files{Base: from.Base, Overlays: maps.Clone(from.Overlays)}
	for _, s := range c.Splices {
		text := out.file(s.File)
		if s.At < 0 || s.Cut < 0 || s.At+s.Cut > len(text) {
			return from, false
		}
		out.setFile(s.File, text[:s.At]+s.Text+text[s.At+s.Cut:])
	}
	return out, true
}

func (f *Files) file(name string) string {
	if name == "" {
		return f.Base
	}
	return f.Overlays[name]
}

func (f *Files) setFile(name, text string) {
	if name == "" {
		f.Base = text
		return
	}
	if f.Overlays == nil {
		f.Overlays = map[string]string{}
	}
	f.Overlays[name] = text
}

// diff returns the splices that turn one set of files into another. It reports false
// if an overlay was removed, which splices can't express.
func diff(from, to Files) ([]Splice, bool) {
	var out []Splice
	for site := range from.Overlays {
		if _, ok := to.Overlays[site]; !ok {
			return nil, false
		}
	}
	names := append([]string{""}, slices.Sorted(maps.Keys(to.Overlays))...)
	for _, name := range names {
		_, existed := from.Overlays[name]
		if s := newSplice(name, from.file(name), to.file(name)); s.Cut > 0 || s.Text != "" || name != "" && !existed {
			out = append(out, s)
		}
	}
	return out, true
}

func newSplice(name, a, b string) Splice {
	head := 0
	for head < len(a) && head < len(b) && a[head] == b[head] {
		head++
	}
	tail := 0
	for tail < len(a)-head && tail < len(b)-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	return Splice{File: name, At: head, Cut: len(a) - head - tail, Text: b[head : len(b)-tail]}
}

// ReadDir reads a folder with base.toml and overlays, which are all other TOML files.
func ReadDir(dir fs.FS) (Files, error) {
	base, err := fs.ReadFile(dir, BaseFile)
	if err != nil {
		return Files{}, errorx.Decorate(err, "read base")
	}
	out := Files{Base: string(base), Overlays: map[string]string{}}
	names, err := fs.Glob(dir, "*.toml")
	if err != nil {
		return Files{}, errorx.Decorate(err, "list overlays")
	}
	for _, name := range names {
		if name == BaseFile {
			continue
		}
		text, err := fs.ReadFile(dir, name)
		if err != nil {
			return Files{}, errorx.Decorate(err, "read overlay")
		}
		out.Overlays[strings.TrimSuffix(name, ".toml")] = string(text)
	}
	return out, nil
}
