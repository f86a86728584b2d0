package load

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot draws tokens and the longest stall of each second to a file, whose extension selects the format.
func Plot(r *Report, file string) error {
	p := plot.New()
	p.Title.Text = "Tokens and longest stall of each second"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "tokens/s; stall in ms"
	tokens := make(plotter.XYs, len(r.Points))
	stalls := make(plotter.XYs, len(r.Points))
	for i, point := range r.Points {
		tokens[i] = plotter.XY{X: point.Second, Y: float64(point.Tokens)}
		stalls[i] = plotter.XY{X: point.Second, Y: point.Stall}
	}
	if err := plotutil.AddLines(p, "tokens", tokens, "longest stall", stalls); err != nil {
		return err
	}
	return p.Save(18*vg.Centimeter, 9*vg.Centimeter, file)
}
