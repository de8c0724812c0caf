package document

import "strings"

// fieldByKey maps each key to its field; childrenOf maps each table to its
// fields, with "" for the document itself.
var (
	fieldByKey = indexFields()
	childrenOf = indexChildren()
)

// maxSuggestDistance bounds the edit distance between an unknown key and the
// known key that is suggested for it.
const maxSuggestDistance = 4

func indexFields() map[string]*Field {
	out := make(map[string]*Field, len(allFields))
	for i := range allFields {
		out[allFields[i].Key] = &allFields[i]
	}
	return out
}

func indexChildren() map[string][]*Field {
	out := make(map[string][]*Field)
	for i := range allFields {
		out[parentKey(allFields[i].Key)] = append(out[parentKey(allFields[i].Key)], &allFields[i])
	}
	return out
}

func parentKey(key string) string {
	at := strings.LastIndex(key, ".")
	if at < 0 {
		return ""
	}
	return key[:at]
}

// suggest returns the remedy for an unknown key.
func suggest(key string) string {
	best := ""
	distance := maxSuggestDistance + 1
	for i := range allFields {
		if d := editDistance(key, allFields[i].Key); d < distance {
			best, distance = allFields[i].Key, d
		}
	}
	if best == "" {
		return "remove it; docs/configuration.md lists all keys"
	}
	return "remove it, or use " + best + " if that was meant"
}

// editDistance returns the Levenshtein distance of two keys, in bytes. It uses
// at most maxValueBytes of a.
func editDistance(a, b string) int {
	if len(a) > maxValueBytes {
		a = a[:maxValueBytes]
	}
	previous := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current := make([]int, len(b)+1)
		current[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			current[j] = min(previous[j]+1, current[j-1]+1, previous[j-1]+cost)
		}
		previous = current
	}
	return previous[len(b)]
}
