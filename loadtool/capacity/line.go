package capacity

// Point is the value Y of a measure at the value X of the varied parameter.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a least-squares fit.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
}

// fitLine returns the least-squares line through the points. If all points have the same X,
// the slope is 0.
func fitLine(points []Point) Line {
	if len(points) == 0 {
		return Line{}
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X
		meanY += p.Y
	}
	count := float64(len(points))
	meanX /= count
	meanY /= count
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.X - meanX) * (p.Y - meanY)
		variance += (p.X - meanX) * (p.X - meanX)
	}
	if variance == 0 {
		return Line{
			Intercept: meanY,
		}
	}
	slope := covariance / variance
	return Line{
		Slope:     slope,
		Intercept: meanY - slope*meanX,
	}
}
