package config

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// ErrInvalid is matched by every Problems value.
var ErrInvalid = errorx.NewType(errorx.NewNamespace("config"), "invalid").New("the configuration is not valid")

// BaseFile is the name of the base file.
const BaseFile = "base.toml"

// Problem is an error in a configuration, with its position.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

// String renders the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: found %s, allowed: %s", p.File, p.Line, p.Key, p.Found, p.Allowed)
}

// Problems are all the errors found in a configuration.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string { return strings.Join(p.Strings(), "\n") }

// Is makes errors.Is(err, ErrInvalid) true.
func (p Problems) Is(target error) bool { return target == ErrInvalid }

// Strings renders each problem on a line of its own.
func (p Problems) Strings() []string {
	var out []string
	for _, problem := range p {
		out = append(out, problem.String())
	}
	return out
}

// table is a decoded TOML table that has not been checked against the types of
// Config.
type table = map[string]any

// position is the place in the files where a key is set.
type position struct {
	file string
	line int
}

// source is the parsed base file, merged with an overlay, with the positions of its
// keys and the problems found so far.
type source struct {
	root      table
	positions map[string]position
	problems  Problems
}

func (s *source) addProblem(key, found, allowed string) {
	at := s.positionOf(key)
	s.problems = append(s.problems, Problem{File: at.file, Line: at.line, Key: key, Found: found, Allowed: allowed})
}

// positionOf returns the position of the key or, if it isn't set, of the innermost
// table around it.
func (s *source) positionOf(key string) position {
	for {
		if at, ok := s.positions[key]; ok {
			return at
		}
		i := strings.LastIndexByte(key, '.')
		if i < 0 {
			return position{file: BaseFile, line: 1}
		}
		key = key[:i]
	}
}

// Parse parses and checks the configuration of one site. Errors in the text are
// returned as a Problems value that lists them.
func Parse(base, overlay, site string) (*Config, error) {
	s := &source{positions: map[string]position{}}
	s.root = s.parseFile(BaseFile, base)
	if overlay != "" && len(s.problems) == 0 {
		s.overlay(site+".toml", overlay)
	}
	if len(s.problems) > 0 {
		return nil, s.problems
	}
	s.verifyType(s.root, reflect.TypeFor[Config](), "")
	cfg, err := s.decode()
	if err != nil && len(s.problems) > 0 {
		// Decoding failed on a value of the wrong type, which verifyType has reported.
		return nil, s.problems
	}
	if err != nil {
		return nil, err
	}
	s.check(cfg, site)
	if len(s.problems) > 0 {
		return nil, s.problems
	}
	return cfg, nil
}

// parseFile parses one file and records the position of each of its keys.
func (s *source) parseFile(file, text string) table {
	var out table
	if err := toml.Unmarshal([]byte(text), &out); err != nil {
		line := 1
		var syntax *toml.DecodeError
		if errors.As(err, &syntax) {
			line, _ = syntax.Position()
		}
		s.problems = append(s.problems, Problem{File: file, Line: line, Key: "-", Found: err.Error(), Allowed: "TOML"})
		return nil
	}
	s.recordPositions(file, text)
	return out
}

// recordPositions records the position of each key in the file's expressions.
func (s *source) recordPositions(file, text string) {
	p := unstable.Parser{}
	p.Reset([]byte(text))
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		name, line := dottedKey(&p, e.Key())
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = name
			s.positions[name] = position{file, line}
		case unstable.KeyValue:
			s.positions[joinKey(prefix, name)] = position{file, line}
		default:
		}
	}
}

func dottedKey(p *unstable.Parser, it unstable.Iterator) (string, int) {
	var parts []string
	line := 1
	for it.Next() {
		n := it.Node()
		parts = append(parts, string(n.Data))
		line = p.Shape(n.Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}

func joinKey(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

// overlay applies a site's overlay. An overlay may only change keys that the base
// sets and whose patterns it lists in differs.
func (s *source) overlay(file, text string) {
	patterns := stringList(s.root["differs"])
	layer := &source{positions: map[string]position{}}
	changes := layer.parseFile(file, text)
	s.problems = append(s.problems, layer.problems...)
	for _, key := range leafKeys(changes, "") {
		pos := layer.positionOf(key)
		report := func(found, rule string) {
			s.problems = append(s.problems, Problem{File: file, Line: pos.line, Key: key, Found: found, Allowed: rule})
		}
		if _, ok := lookup(s.root, key); !ok {
			report("a key that the base lacks", "keys of "+BaseFile)
			continue
		}
		if !slices.ContainsFunc(patterns, func(pattern string) bool { return matchKey(pattern, key) }) {
			report("a change", "keys that the base lists in differs")
			continue
		}
		value, _ := lookup(changes, key)
		assign(s.root, key, value)
		s.positions[key] = pos
	}
}

func stringList(v any) []string {
	var out []string
	list, _ := v.([]any)
	for _, item := range list {
		if text, ok := item.(string); ok {
			out = append(out, text)
		}
	}
	return out
}

// matchKey reports whether a dotted key matches a pattern, in which * matches any
// one name.
func matchKey(pattern, key string) bool {
	p, k := strings.Split(pattern, "."), strings.Split(key, ".")
	if len(p) != len(k) {
		return false
	}
	for i := range p {
		if p[i] != "*" && p[i] != k[i] {
			return false
		}
	}
	return true
}

func leafKeys(t table, prefix string) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(t)) {
		key := joinKey(prefix, name)
		if sub, ok := t[name].(table); ok {
			out = append(out, leafKeys(sub, key)...)
			continue
		}
		out = append(out, key)
	}
	return out
}

func lookup(t table, key string) (any, bool) {
	head, rest, nested := strings.Cut(key, ".")
	v, ok := t[head]
	if !ok || !nested {
		return v, ok
	}
	sub, ok := v.(table)
	if !ok {
		return nil, false
	}
	return lookup(sub, rest)
}

func assign(t table, key string, value any) {
	head, rest, nested := strings.Cut(key, ".")
	if !nested {
		t[head] = value
		return
	}
	if sub, ok := t[head].(table); ok {
		assign(sub, rest, value)
	}
}

// verifyType checks a decoded value against a type of Config. Unlike a decoder, which
// stops at the first error, it reports all unknown keys and values of the wrong type.
func (s *source) verifyType(v any, want reflect.Type, key string) {
	switch {
	case want == reflect.TypeFor[Duration]():
		s.verifyDuration(v, key)
	case want.Kind() == reflect.Struct:
		s.verifyStruct(v, want, key)
	case want.Kind() == reflect.Map:
		s.verifyMap(v, want.Elem(), key)
	case want.Kind() == reflect.Slice:
		s.verifyList(v, want.Elem(), key)
	default:
		s.verifyScalar(v, want, key)
	}
}

func (s *source) verifyDuration(v any, key string) {
	var d Duration
	text, ok := v.(string)
	if !ok || d.UnmarshalText([]byte(text)) != nil {
		s.addProblem(key, fmt.Sprintf("%#v", v), `a length of time with its unit, such as "30s"`)
	}
}

func (s *source) verifyStruct(v any, want reflect.Type, key string) {
	t, ok := v.(table)
	if !ok {
		s.addProblem(key, fmt.Sprintf("%#v", v), "a table")
		return
	}
	fields := map[string]reflect.Type{}
	for f := range want.Fields() {
		fields[f.Tag.Get("toml")] = f.Type
	}
	for _, name := range slices.Sorted(maps.Keys(t)) {
		sub, ok := fields[name]
		if !ok {
			s.addProblem(joinKey(key, name), "an unknown key", strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
			continue
		}
		s.verifyType(t[name], sub, joinKey(key, name))
	}
}

func (s *source) verifyMap(v any, elem reflect.Type, key string) {
	t, ok := v.(table)
	if !ok {
		s.addProblem(key, fmt.Sprintf("%#v", v), "a table")
		return
	}
	for _, name := range slices.Sorted(maps.Keys(t)) {
		s.verifyType(t[name], elem, joinKey(key, name))
	}
}

func (s *source) verifyList(v any, elem reflect.Type, key string) {
	list, ok := v.([]any)
	if !ok {
		s.addProblem(key, fmt.Sprintf("%#v", v), "a list")
		return
	}
	for _, item := range list {
		s.verifyType(item, elem, key)
	}
}

func (s *source) verifyScalar(v any, want reflect.Type, key string) {
	ok := false
	switch v.(type) {
	case string:
		ok = want.Kind() == reflect.String
	case bool:
		ok = want.Kind() == reflect.Bool
	case int64:
		ok = want.Kind() == reflect.Int || want.Kind() == reflect.Float64
	case float64:
		ok = want.Kind() == reflect.Float64
	}
	if !ok {
		s.addProblem(key, fmt.Sprintf("%#v", v), "a value of type "+want.Kind().String())
	}
}

func (s *source) decode() (*Config, error) {
	text, err := toml.Marshal(s.root)
	if err != nil {
		return nil, errorx.Decorate(err, "merge")
	}
	cfg := &Config{}
	if err := toml.Unmarshal(text, cfg); err != nil {
		return nil, errorx.Decorate(err, "decode")
	}
	return cfg, nil
}
