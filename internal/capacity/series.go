package capacity

// Series holds the results of one benchmark for several sizes.
type Series struct {
	// Name describes what was measured and contains the unit of the values.
	Name string
	// Command reproduces the values.
	Command string
	// SizeUnit is the unit of the sizes.
	SizeUnit string
	Sizes    []float64
	Values   []float64
}

// LinearFit is a line fitted to measured values.
type LinearFit struct {
	// Slope is the increase of the value per unit of size.
	Slope float64
	// Intercept is the value at size 0.
	Intercept float64
	// R2 is the coefficient of determination, 1 for an exact line.
	R2 float64
}

// At returns the line's value at a size.
func (l LinearFit) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit returns the least-squares fit of the values.
func (s Series) Fit() LinearFit {
	n := float64(len(s.Sizes))
	meanX, meanY := sum(s.Sizes)/n, sum(s.Values)/n
	var xx, xy, yy float64
	for i := range s.Sizes {
		dx, dy := s.Sizes[i]-meanX, s.Values[i]-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	fit := LinearFit{Slope: xy / xx, R2: 1}
	fit.Intercept = meanY - fit.Slope*meanX
	if yy > 0 {
		fit.R2 = xy * xy / (xx * yy)
	}
	return fit
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
