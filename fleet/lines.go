package fleet

import (
	"strconv"
	"strings"
)

type (
	// lineIndex maps the path of each table and key of a TOML text to its line.
	// In a path, the elements of an array of tables are numbered from 0. The
	// TOML library isn't used for this, because it records only one position for
	// all elements of an array.
	lineIndex map[string]int

	// lineScanner fills a lineIndex from a text.
	lineScanner struct {
		text   string
		offset int
		line   int
		table  []string       // path of the current table
		counts map[string]int // elements so far of each array of tables
		lines  lineIndex
	}
)

// pathSeparator can't occur in a TOML key that names a setting.
const pathSeparator = "\x00"

func joinPath(path ...string) string { return strings.Join(path, pathSeparator) }

// find returns the line of the longest prefix of path that the text has, or 0.
func (x lineIndex) find(path ...string) int {
	for n := len(path); n > 0; n-- {
		if line, ok := x[joinPath(path[:n]...)]; ok {
			return line
		}
	}
	return 0
}

// scanLines returns the lines of a text that the TOML library has accepted. For
// other texts the index is incomplete.
func scanLines(text string) lineIndex {
	s := &lineScanner{text: text, line: 1, counts: map[string]int{}, lines: lineIndex{}}
	for s.skipBlank(); s.offset < len(s.text); s.skipBlank() {
		if s.text[s.offset] == '[' {
			s.scanHeader()
		} else {
			s.scanPair()
		}
	}
	return s.lines
}

// scanHeader reads the header of a table or of an element of an array of tables.
func (s *lineScanner) scanHeader() {
	start, isArray := s.line, strings.HasPrefix(s.text[s.offset:], "[[")
	s.advance(1)
	if isArray {
		s.advance(1)
	}
	path := s.addIndexes(s.scanKey("]"))
	if isArray {
		name := joinPath(path...)
		path = append(path, strconv.Itoa(s.counts[name]))
		s.counts[name]++
	}
	s.table = path
	s.record(start, path)
	s.skipLine()
}

// scanPair reads a key and skips its value.
func (s *lineScanner) scanPair() {
	start := s.line
	key := s.scanKey("=")
	s.record(start, append(append([]string{}, s.table...), key...))
	s.skipValue()
}

// record sets the line of path, and of those of its parent tables that have no
// line yet.
func (s *lineScanner) record(line int, path []string) {
	for n := len(path); n > 0; n-- {
		name := joinPath(path[:n]...)
		if _, ok := s.lines[name]; ok && n < len(path) {
			return
		}
		s.lines[name] = line
	}
}

// addIndexes returns the path of a header's key. It adds the index of the current
// element after each array of tables.
func (s *lineScanner) addIndexes(key []string) (path []string) {
	for i, part := range key {
		path = append(path, part)
		if count := s.counts[joinPath(path...)]; count > 0 && i < len(key)-1 {
			path = append(path, strconv.Itoa(count-1))
		}
	}
	return path
}

// scanKey reads a dotted key up to and including a newline or one of the
// terminators.
func (s *lineScanner) scanKey(terminators string) (parts []string) {
	var part strings.Builder
	for s.offset < len(s.text) {
		c := s.text[s.offset]
		switch {
		case strings.IndexByte(terminators, c) >= 0 || c == '\n':
			s.advance(1)
			return append(parts, part.String())
		case c == '"' || c == '\'':
			part.WriteString(s.scanString())
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

// skipValue skips a value and the rest of its last line. A value may extend over
// several lines.
func (s *lineScanner) skipValue() {
	depth := 0
	for s.offset < len(s.text) {
		switch c := s.text[s.offset]; {
		case c == '"' || c == '\'':
			s.scanString()
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

// scanString reads a string and returns its content without resolving escapes.
func (s *lineScanner) scanString() string {
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
	// The content of a multi-line string may end with up to two quotes.
	for len(quote) == 3 && s.offset < len(s.text) && s.text[s.offset] == quote[0] {
		s.advance(1)
	}
	return content
}

// skipBlank skips white space, empty lines and comments.
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

// skipLine skips the rest of the line, without the newline.
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
