// Package quota bounds the bytes that callers have sent and the node still holds. Where they are short, the callers whose
// requests make no progress lose theirs first.
package quota
