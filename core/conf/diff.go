package conf

import "strings"

// DiffLines returns the lines that differ between two texts, in order: those only in a with a leading -, those only
// in b with a leading +.
func DiffLines(a, b string) []string {
	left, right := strings.Split(a, "\n"), strings.Split(b, "\n")
	common := commonLengths(left, right)
	var out []string
	i, j := 0, 0
	for i < len(left) || j < len(right) {
		switch {
		case i < len(left) && j < len(right) && left[i] == right[j]:
			i++
			j++
		case j == len(right) || (i < len(left) && common[i+1][j] >= common[i][j+1]):
			out = append(out, "-"+left[i])
			i++
		default:
			out = append(out, "+"+right[j])
			j++
		}
	}
	return out
}

// commonLengths returns, for each pair of positions, the length of the longest common subsequence of the lines that
// follow them.
func commonLengths(left, right []string) [][]int {
	out := make([][]int, len(left)+1)
	for i := range out {
		out[i] = make([]int, len(right)+1)
	}
	for i := len(left) - 1; i >= 0; i-- {
		for j := len(right) - 1; j >= 0; j-- {
			if left[i] == right[j] {
				out[i][j] = out[i+1][j+1] + 1
			} else {
				out[i][j] = max(out[i+1][j], out[i][j+1])
			}
		}
	}
	return out
}
