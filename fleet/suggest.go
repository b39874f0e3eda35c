package fleet

import "strings"

// Suggest returns the known name with the smallest edit distance from word, or
// "" if no name is close enough to be the intended one.
func Suggest(word string, known []string) (suggestion string) {
	// Allow a third of the word to differ; a higher limit suggests unrelated
	// names.
	best := max(2, len(word)/3) + 1
	for _, name := range known {
		if strings.EqualFold(name, word) {
			return name
		}
		if max(len(name)-len(word), len(word)-len(name)) >= best {
			continue
		}
		if d := editDistance(strings.ToLower(word), strings.ToLower(name)); d < best && d < len(name) {
			best, suggestion = d, name
		}
	}
	return suggestion
}

// editDistance returns the Levenshtein distance between a and b, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitute := diagonal
			if a[i] != b[j] {
				substitute++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitute, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}
