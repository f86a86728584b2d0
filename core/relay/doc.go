// Package relay runs one generation request until its answer is complete or refused: it admits the request, makes
// attempts at upstreams and resumes a partial answer at another upstream.
package relay
