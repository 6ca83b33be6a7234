"""Format figures for pages."""


def format_number(value: float) -> str:
    """Format a figure with three significant digits; larger integer parts are kept whole.

    >>> format_number(0.012345), format_number(1234.5), format_number(0.0)
    ('0.0123', '1234', '0')
    """
    if value == 0:
        return "0"
    return f"{value:.0f}" if abs(value) >= 100 else f"{value:.3g}"
