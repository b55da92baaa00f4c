"""Router fleet that keeps client accounts inside prepaid token budgets."""
