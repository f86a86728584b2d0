package cli

import (
	"context"
	"net/http"
	"time"

	"rhubarbspread/core/once"
	"rhubarbspread/io/table"
)

func (o *output) unresolved(ctx context.Context, p *platformFlags) error {
	if p.table == "" {
		return exitf(exitUsage, "-table is needed")
	}
	list, err := once.ListUnresolved(ctx, table.New(p.table))
	if err != nil {
		return exitf(exitUnreachable, "%v", err)
	}
	if p.json {
		return o.printJSON(list)
	}
	return o.printTable("TEAM\tSERVICE\tKEY\tSTATE\tTOKEN\tAT\tNOTE", func(add func(...any)) {
		for _, u := range list {
			add(u.Key.Team, u.Key.Service, u.Key.Key, u.State, u.Token, u.At.Format(time.RFC3339), u.Note)
		}
	})
}

func (o *output) resolve(ctx context.Context, p *platformFlags, args []string, ran bool, note string) error {
	if err := checkArgumentCount(args, 4, "a team, a service, a key and a token"); err != nil {
		return err
	}
	if p.table == "" || note == "" {
		return exitf(exitUsage, "-table and -note are needed")
	}
	key := once.Key{Team: args[0], Service: args[1], Key: args[2]}
	response := &once.Response{Status: http.StatusOK, ContentType: "text/plain", Body: []byte("recorded by an operator: " + note + "\n")}
	if err := once.Resolve(ctx, table.New(p.table), key, args[3], ran, response, note); err != nil {
		return err
	}
	o.printf("%s/%s/%s: ran=%v is recorded\n", args[0], args[1], args[2], ran)
	return nil
}
