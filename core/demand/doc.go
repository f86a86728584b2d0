// Package demand measures what callers offer to each service in each data centre, and how much of it finds no room.
//
// Each node measures its own demand. A Meter holds it together with what other nodes and the relays of data centres report, and
// answers with the demand of each data centre as far as it is known. It decides nothing.
package demand
