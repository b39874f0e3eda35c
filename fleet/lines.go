package fleet

import (
	"strconv"
	"strings"
)

type (
	// lineIndex holds the line of each table and key of a TOML text by its path,
	// in which the elements of an array of tables are numbered from 0. The TOML
	// library keeps one position for all elements of an array.
	lineIndex map[string]int

	lineScanner struct {
		text   string
		offset int
		line   int
		table  []string
		counts map[string]int // elements seen of each array of tables
		lines  lineIndex
	}
)

// pathSeparator can't be part of a TOML key that names a setting.
const pathSeparator = "\x00"

func joinPath(path ...string) string { return strings.Join(path, pathSeparator) }

// find returns the line of the innermost part of path that the text has.
func (x lineIndex) find(path ...string) int {
	for n := len(path); n > 0; n-- {
		if line, ok := x[joinPath(path[:n]...)]; ok {
			return line
		}
	}
	return 0
}

// scanLines indexes a text that the TOML library accepted; what it returns for
// other texts is incomplete.
func scanLines(text string) lineIndex {
	s := &lineScanner{text: text, line: 1, counts: map[string]int{}, lines: lineIndex{}}
	for s.skipBlank(); s.offset < len(s.text); s.skipBlank() {
		if s.text[s.offset] == '[' {
			s.header()
		} else {
			s.pair()
		}
	}
	return s.lines
}

func (s *lineScanner) header() {
	start, isArray := s.line, strings.HasPrefix(s.text[s.offset:], "[[")
	s.advance(1)
	if isArray {
		s.advance(1)
	}
	path := s.resolve(s.key("]"))
	if isArray {
		name := joinPath(path...)
		path = append(path, strconv.Itoa(s.counts[name]))
		s.counts[name]++
	}
	s.table = path
	s.record(start, path)
	s.skipLine()
}

func (s *lineScanner) pair() {
	start := s.line
	key := s.key("=")
	s.record(start, append(append([]string{}, s.table...), key...))
	s.value()
}

// record notes the line of path and of the tables that it implies.
func (s *lineScanner) record(line int, path []string) {
	for n := len(path); n > 0; n-- {
		name := joinPath(path[:n]...)
		if _, ok := s.lines[name]; ok && n < len(path) {
			return
		}
		s.lines[name] = line
	}
}

// resolve inserts the number of the current element behind each array of
// tables in a header's path.
func (s *lineScanner) resolve(key []string) (path []string) {
	for i, part := range key {
		path = append(path, part)
		if count := s.counts[joinPath(path...)]; count > 0 && i < len(key)-1 {
			path = append(path, strconv.Itoa(count-1))
		}
	}
	return path
}

// key reads a dotted key up to one of the ending characters.
func (s *lineScanner) key(end string) (parts []string) {
	var part strings.Builder
	for s.offset < len(s.text) {
		c := s.text[s.offset]
		switch {
		case strings.IndexByte(end, c) >= 0 || c == '\n':
			s.advance(1)
			return append(parts, part.String())
		case c == '"' || c == '\'':
			part.WriteString(s.quoted())
			continue
		case c == '.':
			parts = append(parts, part.String())
			part.Reset()
		case c != ' ' && c != '\t':
			part.WriteByte(c)
		}
		s.advance(1)
	}
	return append(parts, part.String())
}

// value skips a value, which may extend over several lines.
func (s *lineScanner) value() {
	depth := 0
	for s.offset < len(s.text) {
		switch c := s.text[s.offset]; {
		case c == '"' || c == '\'':
			s.quoted()
			continue
		case c == '#':
			s.skipLine()
			if depth == 0 {
				return
			}
			continue
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == '\n' && depth <= 0:
			s.advance(1)
			return
		}
		s.advance(1)
	}
}

// quoted skips a string and returns its raw content.
func (s *lineScanner) quoted() string {
	quote := s.text[s.offset : s.offset+1]
	if triple := strings.Repeat(quote, 3); strings.HasPrefix(s.text[s.offset:], triple) {
		quote = triple
	}
	s.advance(len(quote))
	start := s.offset
	for s.offset < len(s.text) && !strings.HasPrefix(s.text[s.offset:], quote) {
		if s.text[s.offset] == '\\' && quote[0] == '"' {
			s.advance(1)
		}
		s.advance(1)
	}
	content := s.text[start:min(s.offset, len(s.text))]
	s.advance(len(quote))
	// A multi-line string may end in up to two more quotes that belong to it.
	for len(quote) == 3 && s.offset < len(s.text) && s.text[s.offset] == quote[0] {
		s.advance(1)
	}
	return content
}

func (s *lineScanner) skipBlank() {
	for s.offset < len(s.text) {
		switch s.text[s.offset] {
		case ' ', '\t', '\r', '\n':
			s.advance(1)
		case '#':
			s.skipLine()
		default:
			return
		}
	}
}

func (s *lineScanner) skipLine() {
	for s.offset < len(s.text) && s.text[s.offset] != '\n' {
		s.advance(1)
	}
}

func (s *lineScanner) advance(n int) {
	for ; n > 0 && s.offset < len(s.text); n-- {
		if s.text[s.offset] == '\n' {
			s.line++
		}
		s.offset++
	}
}
